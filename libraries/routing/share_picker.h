#ifndef LIBRARIES_ROUTING_SHARE_PICKER_H_
#define LIBRARIES_ROUTING_SHARE_PICKER_H_

#include <string>
#include <unordered_map>

#include "libraries/base/random.h"
#include "libraries/routing/configuration.h"

namespace agaterun::routing {

// Divides the requests of a route among its services in the proportion of
// their weights. Evenly spread, so that few requests keep the proportion too.
class SharePicker {
 public:
  // `random` outlives the picker.
  explicit SharePicker(RandomSource& random) : random(random) {}

  // The service of the route's next request; nullptr when no service has a
  // weight.
  const std::string* Pick(const Route& route);

 private:
  RandomSource& random;
  std::unordered_map<std::string, double> positions;  // By route, in [0, 1).
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_SHARE_PICKER_H_
