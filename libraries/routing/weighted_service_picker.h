#ifndef LIBRARIES_ROUTING_WEIGHTED_SERVICE_PICKER_H_
#define LIBRARIES_ROUTING_WEIGHTED_SERVICE_PICKER_H_

#include <string>
#include <unordered_map>

#include "libraries/base/random.h"
#include "libraries/routing/configuration.h"

namespace agaterun::routing {

// Distributes the requests of a route over its services in proportion to their
// weights. The picks are evenly interleaved, so that short sequences of
// requests keep the proportion too.
class WeightedServicePicker {
 public:
  // `random` must outlive the picker.
  explicit WeightedServicePicker(RandomSource& random) : random(random) {}

  // Returns the service for the route's next request, or nullptr if no service
  // has a positive weight.
  const std::string* Pick(const Route& route);

 private:
  RandomSource& random;
  std::unordered_map<std::string, double> positions;  // By route, in [0, 1).
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_WEIGHTED_SERVICE_PICKER_H_
