#ifndef LIBRARIES_DECISION_SERVICE_TIMES_H_
#define LIBRARIES_DECISION_SERVICE_TIMES_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun::decision {

// How long requests of each route take lately, nested calls included.
class ServiceTimes {
 public:
  // A request of `route` took `time`.
  void Add(Instant now, std::string_view route, Duration time);

  // A request was given up after `time`, so it would have taken longer.
  void AddUnfinished(Instant now, std::string_view route, Duration time);

  // Time that a request of `route` is expected to take; zero for a route that
  // has not been seen.
  Duration Expected(Instant now, std::string_view route) const;

  // Expected time of a request of any route; zero before the first one.
  Duration ExpectedForAnyRoute(Instant now) const;

 private:
  struct Estimate {
    double mean = 0;  // Seconds.
    Instant last{};
  };

  static Duration Decayed(Instant now, const Estimate& estimate);
  static void Update(Instant now, Estimate& estimate, double seconds);

  // Bounded by the routes that tickets name, see kRouteCapacity.
  std::map<std::string, Estimate, std::less<>> routes;
  Estimate overall;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_SERVICE_TIMES_H_
