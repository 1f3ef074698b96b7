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

// What the paths behind the routes admit, as answers told it, so that a
// request which a deep service would refuse is refused before any work. News of
// a service, by whatever route it came, holds for all routes that lead there.
class PathThresholds {
 public:
  struct Options {
    std::size_t max_routes = 1024;
    std::size_t max_services = 32;  // On the path behind one route.
  };

  // Verdict on one request.
  struct Verdict {
    bool admitted = true;
    Duration retry_after{};
  };

  explicit PathThresholds(Options options) : options(options) {}

  // Takes the thresholds that an answer of `service` and `route` carried, and
  // when it told refused callers to come back; zero says nothing.
  void Learn(Instant now,
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

  // What is in force at `now` behind a route.
  ServiceThresholds InForce(Instant now,
                            std::string_view service,
                            std::string_view route) const;

 private:
  struct Level {
    double value = 0;  // Classes and keys admitted, in keys.
    Instant reported_at{};
  };

  struct Route {
    std::vector<std::string> path;  // Services that answers came by.
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
  std::unordered_map<std::string, Level> levels;  // By service; strict ones.
  std::unordered_map<std::string, Route> routes;  // By service and route name.
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PATH_THRESHOLDS_H_
