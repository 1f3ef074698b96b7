#ifndef LIBRARIES_ADMISSION_WORK_TIMES_H_
#define LIBRARIES_ADMISSION_WORK_TIMES_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::admission {

// How long the backend server on this host takes for a request of each route,
// held against what the endpoints of its service take for the same routes. A
// mean over all routes would tell which work an endpoint got, not how fast it
// is.
class WorkTimes {
 public:
  using RouteId = std::uint32_t;  // Hash of a route's name.
  static RouteId IdOf(std::string_view route);

  // A request was answered with success after `elapsed`.
  void Learn(Instant now, RouteId route, Duration elapsed);
  // A request was broken off after `elapsed`, and would have taken longer.
  void LearnLowerBound(Instant now, RouteId route, Duration elapsed);

  // What runs now: the time that it has taken, and what is usual for it.
  struct Running {
    Duration taken{};
    Duration usual{};
  };
  void SetRunning(Running now_running) { this->running = now_running; }

  // Another endpoint of the service told its times.
  void UpdateFromPeer(Instant now,
                      NodeAddress node,
                      std::vector<decision::RouteTime> times);
  // The service changed: nothing that was learned holds.
  void Clear();

  // Mean time of the route here; zero when not known.
  Duration Own(RouteId route) const;
  // Mean over the endpoints that told it; zero when not known.
  Duration Usual(Instant now, RouteId route) const;

  // Own times of the routes with most requests, as a heartbeat has room for.
  std::vector<decision::RouteTime> HeartbeatEntries(Instant now) const;

  // Time taken over what is usual for the same work, 100 at most; nothing while
  // too little ran here lately.
  std::optional<double> Slowness(Instant now) const;

 private:
  struct RouteMean {
    Duration mean{};
    double weight = 0;  // Requests lately, fading.
    Instant last{};
  };
  struct Told {
    Instant at{};
    std::vector<decision::RouteTime> times;
  };

  static double WeightOf(Instant now, const RouteMean& mean);

  std::unordered_map<RouteId, RouteMean> own;
  std::unordered_map<NodeAddress, Told> told;
  Running running;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_WORK_TIMES_H_
