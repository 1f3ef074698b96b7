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

// Service times of the backend server on this host by route, compared with the
// times that the other endpoints of its service report for the same routes. A
// mean over all routes would depend on the mix of work that an endpoint got,
// and not only on how fast it is.
class WorkTimes {
 public:
  using RouteId = std::uint32_t;  // Hash of a route's name.
  static RouteId IdOf(std::string_view route);

  // Records the service time of a successful request.
  void RecordServiceTime(Instant now, RouteId route, Duration elapsed);
  // Records a request that was aborted after `elapsed`, which is a lower bound
  // of its service time. Ignored unless it exceeds the mean.
  void RecordLowerBound(Instant now, RouteId route, Duration elapsed);

  // Sums over the running requests: the time that they have taken so far, and
  // the mean service time of their routes.
  struct Running {
    Duration taken{};
    Duration usual{};
  };
  void SetRunning(Running new_running) { this->running = new_running; }

  // Stores the times that another endpoint of the service reported.
  void UpdateFromPeer(Instant now,
                      NodeAddress node,
                      std::vector<decision::RouteTime> times);
  // Discards all times, when the host changes to another service.
  void Clear();

  // Mean service time of the route on this host; zero if unknown.
  Duration Own(RouteId route) const;
  // Mean over this host and the endpoints that reported the route; zero if
  // unknown.
  Duration Usual(Instant now, RouteId route) const;

  // Mean service times on this host of the routes with the most requests, as
  // many as a heartbeat has space for.
  std::vector<decision::RouteTime> HeartbeatEntries(Instant now) const;

  // Ratio of the service times on this host to the mean over all endpoints for
  // the same work, at most 100; nothing if too few requests ran here recently.
  std::optional<double> Slowness(Instant now) const;

 private:
  struct RouteMean {
    Duration mean{};
    double weight = 0;      // Number of requests, with exponential decay.
    Instant last_update{};  // Time of the latest request.
  };
  struct PeerReport {
    Instant received{};
    std::vector<decision::RouteTime> times;
  };

  static double CurrentWeight(Instant now, const RouteMean& mean);

  std::unordered_map<RouteId, RouteMean> local_means;
  std::unordered_map<NodeAddress, PeerReport> peer_reports;
  Running running;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_WORK_TIMES_H_
