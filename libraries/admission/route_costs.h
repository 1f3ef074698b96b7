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

// Mean costs of one request of each route, from completed requests: slot time
// at every service on its path, and latency. Until the first request of a route
// succeeds, failed requests count as a lower estimate. Otherwise a route whose
// requests all fail for lack of slots would never be known to need any.
class RouteCosts {
 public:
  struct Costs {
    std::vector<decision::ServiceCost> services;
    Duration latency{};
    // Longest time until the deadline that a caller of the route had left,
    // taken as the time that callers have at their first attempt.
    Duration longest_deadline{};
    int sample_count = 0;  // In the means, at most the length of their window.
    bool is_from_failures = false;
  };

  // Records a completed request. Failed requests are ignored once a request of
  // the route has succeeded.
  void RecordCompletion(std::string_view route,
                        const std::vector<decision::ServiceCost>& service_costs,
                        Duration latency,
                        bool succeeded);

  // Records the time until its deadline that a caller of the route had left.
  void RecordDeadline(std::string_view route, Duration remaining);

  // Returns nullptr if nothing has been recorded for the route.
  const Costs* Find(std::string_view route) const;

 private:
  Costs* FindOrCreate(std::string_view route);

  std::unordered_map<std::string, Costs> routes;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_ROUTE_COSTS_H_
