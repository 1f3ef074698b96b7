#ifndef LIBRARIES_DECISION_SERVICE_TIMES_H_
#define LIBRARIES_DECISION_SERVICE_TIMES_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun::decision {

// Moving estimates of the time that requests of each route take at the backend
// server, nested calls included.
class ServiceTimes {
 public:
  // Records that a request of `route` took `time`.
  void Add(Instant now, std::string_view route, Duration time);

  // Records that a request was aborted after `time`, which is a lower bound of
  // the time it would have taken.
  void AddUnfinished(Instant now, std::string_view route, Duration time);

  // Expected time of a request of `route`; zero if no request of the route has
  // been recorded.
  Duration Expected(Instant now, std::string_view route) const;

  // Expected time of a request regardless of its route; zero if none has been
  // recorded.
  Duration ExpectedForAnyRoute(Instant now) const;

 private:
  struct Estimate {
    double mean = 0;  // Seconds.
    Instant last{};
  };

  static Duration Decayed(Instant now, const Estimate& estimate);
  static void Update(Instant now, Estimate& estimate, double seconds);

  // At most kRouteCapacity entries.
  std::map<std::string, Estimate, std::less<>> routes;
  Estimate overall;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_SERVICE_TIMES_H_
