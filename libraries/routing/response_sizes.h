#ifndef LIBRARIES_ROUTING_RESPONSE_SIZES_H_
#define LIBRARIES_ROUTING_RESPONSE_SIZES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace agaterun::routing {

// Moving averages of the response sizes of each route.
class ResponseSizes {
 public:
  void RecordSize(std::string_view route, std::size_t bytes);

  // Mean size in bytes; 0 if unknown.
  double Of(std::string_view route) const;

 private:
  std::unordered_map<std::string, double> means;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_RESPONSE_SIZES_H_
