#ifndef LIBRARIES_DECISION_PATH_THRESHOLDS_H_
#define LIBRARIES_DECISION_PATH_THRESHOLDS_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/messages.h"

namespace agaterun::decision {

using ServiceThresholds =
    std::vector<std::pair<std::string, AdmissionThreshold>>;

// The admission thresholds on the path behind each route, as reported in
// replies, so that a request that a deep service would refuse is refused before
// any work is done. A service's threshold applies to all routes that lead to
// the service, whichever route reported it.
class PathThresholds {
 public:
  struct Options {
    std::size_t max_routes = 1024;
    std::size_t max_services = 32;  // On the path behind one route.
  };

  // Decision on one request.
  struct Verdict {
    bool admitted = true;
    Duration retry_after{};
  };

  explicit PathThresholds(Options options) : options(options) {}

  // Records the thresholds that a reply of `service` and `route` carried, and
  // the time after which refused callers should retry; zero if the reply
  // carried none.
  void RecordReport(Instant now,
                    std::string_view service,
                    std::string_view route,
                    const ServiceThresholds& thresholds,
                    Duration retry_after);

  // Decides on a request of this class and key.
  Verdict Decide(Instant now,
                 std::string_view service,
                 std::string_view route,
                 Importance importance,
                 std::uint16_t admission_key,
                 RandomSource& random);

  // The thresholds in force at `now` on the path behind a route.
  ServiceThresholds InForce(Instant now,
                            std::string_view service,
                            std::string_view route) const;

 private:
  struct Level {
    double value = 0;  // Admitted admission keys, summed over all classes.
    Instant reported_at{};
  };

  struct Route {
    // Services that replies of the route have reported.
    std::vector<std::string> path;
    Duration retry_after{};
  };

  static double InForce(Instant now, const Level& level);
  const Route* Find(std::string_view service, std::string_view route) const;
  Route* Find(std::string_view service, std::string_view route);

  void UpdateLevel(Instant now,
                   const std::string& service,
                   AdmissionThreshold threshold);
  void UpdatePath(Route& route, const ServiceThresholds& thresholds) const;

  Options options;
  // By service; contains only services that refuse some requests.
  std::unordered_map<std::string, Level> levels;
  std::unordered_map<std::string, Route> routes;  // By service and route name.
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PATH_THRESHOLDS_H_
