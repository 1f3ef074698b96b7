#ifndef LIBRARIES_ROUTING_RESPONSE_SIZES_H_
#define LIBRARIES_ROUTING_RESPONSE_SIZES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agaterun::routing {

// How large the answers of each route are, from those that came lately.
class ResponseSizes {
 public:
  void Learn(std::string_view route, std::size_t bytes);

  // Mean bytes; 0 when not known.
  double Of(std::string_view route) const;

 private:
  std::unordered_map<std::string, double> means;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_RESPONSE_SIZES_H_
