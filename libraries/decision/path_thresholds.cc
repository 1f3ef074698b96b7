#include "libraries/decision/path_thresholds.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

// Upper bound of a threshold expressed as one number: the admission keys that
// it admits, summed over all classes. Unlike pairs, such numbers can be
// averaged and raised.
constexpr double kAdmitsAll = double{kImportanceCount} * kAdmissionKeys;

// A threshold starts to rise when no report has confirmed it for this time.
constexpr Duration kHoldTime = 200ms;

// Time in which a threshold without new reports rises from admitting nothing to
// admitting everything. Together with kHoldTime it is well below one second,
// the bound on recovery time. The rise serves as the probe: the requests that
// it admits bring new reports. Separate probes, one per route and node in each
// interval, would add up over all nodes to more than a deep service can handle.
constexpr Duration kFullRiseTime = 600ms;

// Weight of one report. The gates of a service differ; a route's level follows
// their mean, because the picker distributes the route's requests over all of
// them.
constexpr double kReportWeight = 0.5;

// Weight of the latest Retry-After in the moving average from which the origin
// derives its own.
constexpr double kRetryAfterWeight = 0.2;

constexpr Duration kDefaultRetryAfter = 1s;

double ToLevel(AdmissionThreshold threshold) {
  return static_cast<double>(threshold.cutoff) * kAdmissionKeys +
         threshold.keys;
}

AdmissionThreshold ToThreshold(double level) {
  const auto slices =
      std::clamp(std::lround(level), 0L, static_cast<long>(kAdmitsAll));
  const auto cutoff =
      std::min(slices / kAdmissionKeys, long{kImportanceCount} - 1);
  return {.cutoff = static_cast<Importance>(cutoff),
          .keys = static_cast<std::uint16_t>(slices - cutoff * kAdmissionKeys)};
}

std::string MakeRouteKey(std::string_view service, std::string_view route) {
  std::string key;
  key.reserve(service.size() + 1 + route.size());
  key.append(service).append(1, '\n').append(route);
  return key;
}

// Returns the entry of the route in `routes`, or nullptr.
template <typename Routes>
auto FindIn(Routes& routes, std::string_view service, std::string_view route)
    -> decltype(&routes.begin()->second) {
  if (routes.empty()) {
    return nullptr;
  }
  const auto found = routes.find(MakeRouteKey(service, route));
  return found == routes.end() ? nullptr : &found->second;
}

}  // namespace

double PathThresholds::InForce(Instant now, const Level& level) {
  const auto time_without_report = now - level.reported_at - kHoldTime;
  if (time_without_report <= Duration{}) {
    return level.value;
  }
  const auto increase =
      kAdmitsAll * ToSeconds(time_without_report) / ToSeconds(kFullRiseTime);
  return std::min(kAdmitsAll, level.value + increase);
}

const PathThresholds::Route* PathThresholds::Find(
    std::string_view service,
    std::string_view route) const {
  return FindIn(this->routes, service, route);
}

PathThresholds::Route* PathThresholds::Find(std::string_view service,
                                            std::string_view route) {
  return FindIn(this->routes, service, route);
}

void PathThresholds::UpdateLevel(Instant now,
                                 const std::string& service,
                                 AdmissionThreshold threshold) {
  const double reported = ToLevel(threshold);
  const auto found = this->levels.find(service);
  if (found == this->levels.end()) {
    if (reported < kAdmitsAll &&
        this->levels.size() < this->options.max_routes) {
      this->levels[service] = {
          .value = kAdmitsAll + kReportWeight * (reported - kAdmitsAll),
          .reported_at = now};
    }
    return;
  }
  auto& level = found->second;
  const double current = InForce(now, level);
  // A gate that admits everything has free slots, so its report is applied in
  // full and the level rises as fast as it fell.
  const double weight = reported < kAdmitsAll ? kReportWeight : 1;
  level = {.value = current + weight * (reported - current),
           .reported_at = now};
  // Removes levels that admit everything again, to keep the table small.
  if (level.value > kAdmitsAll - 1) {
    this->levels.erase(found);
  }
}

void PathThresholds::UpdatePath(Route& route,
                                const ServiceThresholds& thresholds) const {
  for (const auto& [service, threshold] : thresholds) {
    const bool is_unlisted = std::find(route.path.begin(), route.path.end(),
                                       service) == route.path.end();
    if (is_unlisted && route.path.size() < this->options.max_services) {
      route.path.push_back(service);
    }
  }
}

void PathThresholds::RecordReport(Instant now,
                                  std::string_view service,
                                  std::string_view route,
                                  const ServiceThresholds& thresholds,
                                  Duration retry_after) {
  auto* known = this->Find(service, route);
  if (known == nullptr) {
    if (this->routes.size() >= this->options.max_routes) {
      return;
    }
    known = &this->routes[MakeRouteKey(service, route)];
  }
  this->UpdatePath(*known, thresholds);
  if (retry_after > Duration{}) {
    known->retry_after =
        known->retry_after == Duration{}
            ? retry_after
            : known->retry_after +
                  std::chrono::duration_cast<Duration>(
                      (retry_after - known->retry_after) * kRetryAfterWeight);
  }
  for (const auto& [name, threshold] : thresholds) {
    this->UpdateLevel(now, name, threshold);
  }
}

PathThresholds::Verdict PathThresholds::Decide(Instant now,
                                               std::string_view service,
                                               std::string_view route,
                                               Importance importance,
                                               std::uint16_t admission_key,
                                               RandomSource& random) {
  if (this->levels.empty()) {
    return {};
  }
  const auto* known = this->Find(service, route);
  if (known == nullptr) {
    return {};
  }
  double lowest = kAdmitsAll;
  for (const auto& name : known->path) {
    if (const auto level = this->levels.find(name);
        level != this->levels.end()) {
      lowest = std::min(lowest, InForce(now, level->second));
    }
  }
  if (Admits(ToThreshold(lowest), importance, admission_key)) {
    return {};
  }
  const auto base = known->retry_after == Duration{} ? kDefaultRetryAfter
                                                     : known->retry_after;
  // Jitter between 0.5 and 1.5 times the base, so that refused callers do not
  // all retry at the same time.
  const auto jitter = 0.5 + random.Unit();
  return {.admitted = false,
          .retry_after = std::chrono::duration_cast<Duration>(base * jitter)};
}

ServiceThresholds PathThresholds::InForce(Instant now,
                                          std::string_view service,
                                          std::string_view route) const {
  ServiceThresholds thresholds;
  const auto* known = this->Find(service, route);
  if (known == nullptr) {
    return thresholds;
  }
  for (const auto& name : known->path) {
    if (const auto level = this->levels.find(name);
        level != this->levels.end()) {
      const double value = InForce(now, level->second);
      if (value < kAdmitsAll) {
        thresholds.emplace_back(name, ToThreshold(value));
      }
    }
  }
  return thresholds;
}

}  // namespace agaterun::decision
