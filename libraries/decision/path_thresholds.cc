#include "libraries/decision/path_thresholds.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

// A threshold as one number: how many slices of keys it admits over all
// classes. Numbers can be averaged and raised, pairs can't.
constexpr double kAdmitsAll = double{kImportanceCount} * kAdmissionKeys;

// News older than this no longer holds back the rise.
constexpr Duration kHold = 200ms;

// Time in which a threshold without news rises from nothing to everything.
// Together with kHold it is well below one second, the bound on recovery.
constexpr Duration kFullRise = 600ms;

// One request per interval passes a route without news, to bring some.
constexpr Duration kProbeInterval = 50ms;

// Weight of an answer. Gates of one service differ; a route's level follows
// their mean, since the picker spreads the route's requests over all.
constexpr double kNewsWeight = 0.5;

// Weight of the latest Retry-After in the mean that the entry tells.
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

std::string KeyOf(std::string_view service, std::string_view route) {
  std::string key;
  key.reserve(service.size() + 1 + route.size());
  key.append(service).append(1, '\n').append(route);
  return key;
}

// The route's entry in `routes`, or nullptr. Nothing is shed in normal times;
// the key is not even built then.
template <typename Routes>
auto FindIn(Routes& routes, std::string_view service, std::string_view route)
    -> decltype(&routes.begin()->second) {
  if (routes.empty()) {
    return nullptr;
  }
  const auto found = routes.find(KeyOf(service, route));
  return found == routes.end() ? nullptr : &found->second;
}

}  // namespace

double PathThresholds::InForce(Instant now, const Level& level) {
  const auto silent = now - level.told - kHold;
  if (silent <= Duration{}) {
    return level.value;
  }
  const auto risen = kAdmitsAll * ToSeconds(silent) / ToSeconds(kFullRise);
  return std::min(kAdmitsAll, level.value + risen);
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

PathThresholds::Level* PathThresholds::LevelOf(Route& route,
                                               const std::string& service) {
  for (auto& level : route.levels) {
    if (level.service == service) {
      return &level;
    }
  }
  if (route.levels.size() >= this->options.most_services) {
    return nullptr;
  }
  route.levels.push_back({.service = service, .value = kAdmitsAll});
  return &route.levels.back();
}

void PathThresholds::Learn(Instant now,
                           std::string_view service,
                           std::string_view route,
                           const ServiceThresholds& thresholds,
                           Duration retry_after) {
  const bool strict = std::any_of(
      thresholds.begin(), thresholds.end(),
      [](const auto& pair) { return ToLevel(pair.second) < kAdmitsAll; });
  auto* entry = this->Find(service, route);
  if (entry == nullptr) {
    if (!strict || this->routes.size() >= this->options.most_routes) {
      return;
    }
    entry = &this->routes[KeyOf(service, route)];
  }
  auto& known = *entry;
  known.told = now;
  if (retry_after > Duration{}) {
    known.retry_after =
        known.retry_after == Duration{}
            ? retry_after
            : known.retry_after +
                  std::chrono::duration_cast<Duration>(
                      (retry_after - known.retry_after) * kRetryAfterWeight);
  }
  for (const auto& [name, threshold] : thresholds) {
    if (auto* level = this->LevelOf(known, name); level != nullptr) {
      const double before = InForce(now, *level);
      level->value = before + kNewsWeight * (ToLevel(threshold) - before);
      level->told = now;
    }
  }
  // What admits everything again is forgotten, so the table stays small.
  std::erase_if(known.levels, [&](const auto& level) {
    return InForce(now, level) > kAdmitsAll - 1;
  });
  if (known.levels.empty()) {
    this->routes.erase(KeyOf(service, route));
  }
}

PathThresholds::Verdict PathThresholds::Decide(Instant now,
                                               std::string_view service,
                                               std::string_view route,
                                               Importance importance,
                                               std::uint16_t admission_key,
                                               RandomSource& random) {
  auto* known = this->Find(service, route);
  if (known == nullptr) {
    return {};
  }
  double lowest = kAdmitsAll;
  for (const auto& level : known->levels) {
    lowest = std::min(lowest, InForce(now, level));
  }
  if (Admits(ToThreshold(lowest), importance, admission_key)) {
    return {};
  }
  const auto latest_news = std::max(known->told, known->last_probe);
  if (now - latest_news >= kProbeInterval) {
    known->last_probe = now;
    return {};
  }
  const auto base = known->retry_after == Duration{} ? kDefaultRetryAfter
                                                     : known->retry_after;
  // Spread over one and a half of it, so that returns do not come together.
  const auto spread = 0.5 + random.Unit();
  return {.admitted = false,
          .retry_after = std::chrono::duration_cast<Duration>(base * spread)};
}

ServiceThresholds PathThresholds::InForce(Instant now,
                                          std::string_view service,
                                          std::string_view route) const {
  ServiceThresholds thresholds;
  const auto* known = this->Find(service, route);
  if (known == nullptr) {
    return thresholds;
  }
  for (const auto& level : known->levels) {
    thresholds.emplace_back(level.service, ToThreshold(InForce(now, level)));
  }
  return thresholds;
}

}  // namespace agaterun::decision
