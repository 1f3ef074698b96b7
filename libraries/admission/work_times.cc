#include "libraries/admission/work_times.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "libraries/base/freshness.h"

namespace agaterun::admission {

namespace {

using decision::RouteTime;

// Window of the moving averages in requests, and half-life of their weights.
// The weights decay so that an endpoint which was slow and then idle is rated
// by its next requests.
constexpr double kRemembered = 20;
constexpr Duration kHalfLife = 1s;

// Weight, in requests, of the prior assumption that this endpoint is as fast as
// the others. It damps random variation while there are few requests.
constexpr double kChance = 2;

// A mean with a smaller weight is treated as unknown.
constexpr double kLeastWeight = 0.3;

// An endpoint that is slower than this gets no requests while there is another
// one.
constexpr double kMostSlowness = 100;

// A report of another endpoint is valid for this long. In a large failure
// domain an endpoint sends one every few seconds.
constexpr Duration kToldTrusted = 8s;

constexpr std::size_t kMostTold = 6;
constexpr std::size_t kMostRoutes = 1024;

std::uint32_t ToMicroseconds(Duration time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

}  // namespace

WorkTimes::RouteId WorkTimes::IdOf(std::string_view route) {
  return XXH32(route.data(), route.size(), 0);
}

double WorkTimes::WeightOf(Instant now, const RouteMean& mean) {
  return mean.weight * Freshness(now - mean.last, kHalfLife);
}

void WorkTimes::Learn(Instant now, RouteId route, Duration elapsed) {
  if (this->own.size() >= kMostRoutes) {
    this->own.clear();
  }
  auto& entry = this->own[route];
  entry.weight = WeightOf(now, entry) + 1;
  entry.last = now;
  entry.mean += std::chrono::duration_cast<Duration>(
      (elapsed - entry.mean) / std::min(entry.weight, kRemembered));
}

void WorkTimes::LearnLowerBound(Instant now, RouteId route, Duration elapsed) {
  if (elapsed > this->Own(route)) {
    this->Learn(now, route, elapsed);
  }
}

void WorkTimes::UpdateFromPeer(Instant now,
                         NodeAddress node,
                         std::vector<RouteTime> times) {
  std::erase_if(this->told, [&](const auto& item) {
    return now - item.second.at > kToldTrusted;
  });
  this->told[node] = {.at = now, .times = std::move(times)};
}

void WorkTimes::Clear() {
  this->own.clear();
  this->told.clear();
  this->running = {};
}

Duration WorkTimes::Own(RouteId route) const {
  const auto found = this->own.find(route);
  return found == this->own.end() ? Duration{} : found->second.mean;
}

Duration WorkTimes::Usual(Instant now, RouteId route) const {
  auto sum = this->Own(route);
  int count = sum > Duration{} ? 1 : 0;
  for (const auto& [node, entry] : this->told) {
    if (now - entry.at > kToldTrusted) {
      continue;
    }
    for (const auto& time : entry.times) {
      if (time.route == route) {
        sum += std::chrono::microseconds(time.microseconds);
        ++count;
      }
    }
  }
  return count == 0 ? Duration{} : sum / count;
}

std::vector<RouteTime> WorkTimes::HeartbeatEntries(Instant now) const {
  std::vector<std::pair<double, RouteTime>> routes;
  for (const auto& [route, entry] : this->own) {
    if (const double weight = WeightOf(now, entry); weight > kLeastWeight) {
      routes.push_back(
          {weight,
           {.route = route, .microseconds = ToMicroseconds(entry.mean)}});
    }
  }
  std::sort(routes.begin(), routes.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second.route < b.second.route;
  });
  routes.resize(std::min(routes.size(), kMostTold));
  std::vector<RouteTime> times;
  for (const auto& [weight, time] : routes) {
    times.push_back(time);
  }
  return times;
}

std::optional<double> WorkTimes::Slowness(Instant now) const {
  double weights = 0;
  double taken = 0;
  double usual = 0;
  for (const auto& [route, entry] : this->own) {
    const double weight = WeightOf(now, entry);
    weights += weight;
    taken += weight * ToSeconds(entry.mean);
    usual += weight * ToSeconds(this->Usual(now, route));
  }
  std::optional<double> slowness;
  if (weights > kLeastWeight) {
    const double chance = kChance * usual / weights;
    slowness = (taken + chance) / (usual + chance);
  }
  // Running requests that exceed the mean show a slow server before they end.
  if (this->running.usual > Duration{}) {
    const double under_way =
        ToSeconds(this->running.taken) / ToSeconds(this->running.usual);
    if (under_way > slowness.value_or(1)) {
      slowness = under_way;
    }
  }
  return slowness ? std::optional(std::min(*slowness, kMostSlowness))
                  : std::nullopt;
}

}  // namespace agaterun::admission
