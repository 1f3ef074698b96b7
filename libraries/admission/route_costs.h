#ifndef LIBRARIES_ADMISSION_ROUTE_COSTS_H_
#define LIBRARIES_ADMISSION_ROUTE_COSTS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::admission {

// What one request of each route takes, learned from completed ones: slot time
// at every service on its path, and how long its answer took. Until a first one
// succeeds, failed ones tell at least some of it: or a route of which all
// requests fail for lack of room would never be known to need any.
class RouteCosts {
 public:
  struct Costs {
    std::vector<decision::ServiceCost> services;
    Duration latency{};
    // Longest time that a caller of the route gave: what a caller has who
    // comes for the first time.
    Duration longest_deadline{};
    int samples = 0;  // Learned from, up to those that the mean remembers.
    bool from_failures = false;
  };

  // A request of the route was completed, with success or not.
  void Learn(std::string_view route,
             const std::vector<decision::ServiceCost>& sample,
             Duration latency,
             bool succeeded);

  // A caller of the route came with this much time.
  void NoteDeadline(std::string_view route, Duration left);

  // nullptr while nothing is known.
  const Costs* Find(std::string_view route) const;

 private:
  Costs* At(std::string_view route);

  std::unordered_map<std::string, Costs> routes;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_ROUTE_COSTS_H_
