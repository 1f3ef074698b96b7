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
constexpr double kMaxMeanWeight = 20;
constexpr Duration kWeightHalfLife = 1s;

// Weight, in requests, of the prior assumption that this endpoint is as fast as
// the others. It damps random variation while there are few requests.
constexpr double kPriorWeight = 2;

// A mean with a smaller weight is treated as unknown.
constexpr double kMinWeight = 0.3;

// An endpoint that is slower than this gets no requests while there is another
// one.
constexpr double kMaxSlowness = 100;

// A report of another endpoint is valid for this long. In a large failure
// domain an endpoint sends one every few seconds.
constexpr Duration kReportTimeout = 8s;

constexpr std::size_t kMaxReportedRoutes = 6;
constexpr std::size_t kMaxRoutes = 1024;

std::uint32_t ToMicroseconds(Duration time) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(time).count());
}

}  // namespace

WorkTimes::RouteId WorkTimes::IdOf(std::string_view route) {
  return XXH32(route.data(), route.size(), 0);
}

double WorkTimes::CurrentWeight(Instant now, const RouteMean& mean) {
  return mean.weight * Freshness(now - mean.last_update, kWeightHalfLife);
}

void WorkTimes::RecordServiceTime(Instant now,
                                  RouteId route,
                                  Duration elapsed) {
  if (this->local_means.size() >= kMaxRoutes) {
    this->local_means.clear();
  }
  auto& entry = this->local_means[route];
  entry.weight = CurrentWeight(now, entry) + 1;
  entry.last_update = now;
  entry.mean += std::chrono::duration_cast<Duration>(
      (elapsed - entry.mean) / std::min(entry.weight, kMaxMeanWeight));
}

void WorkTimes::RecordLowerBound(Instant now, RouteId route, Duration elapsed) {
  if (elapsed > this->Own(route)) {
    this->RecordServiceTime(now, route, elapsed);
  }
}

void WorkTimes::UpdateFromPeer(Instant now,
                               NodeAddress node,
                               std::vector<RouteTime> times) {
  std::erase_if(this->peer_reports, [&](const auto& item) {
    return now - item.second.received > kReportTimeout;
  });
  this->peer_reports[node] = {.received = now, .times = std::move(times)};
}

void WorkTimes::Clear() {
  this->local_means.clear();
  this->peer_reports.clear();
  this->running = {};
}

Duration WorkTimes::Own(RouteId route) const {
  const auto found = this->local_means.find(route);
  return found == this->local_means.end() ? Duration{} : found->second.mean;
}

Duration WorkTimes::Usual(Instant now, RouteId route) const {
  auto sum = this->Own(route);
  int count = sum > Duration{} ? 1 : 0;
  for (const auto& [node, entry] : this->peer_reports) {
    if (now - entry.received > kReportTimeout) {
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
  for (const auto& [route, entry] : this->local_means) {
    if (const double weight = CurrentWeight(now, entry); weight > kMinWeight) {
      routes.push_back(
          {weight,
           {.route = route, .microseconds = ToMicroseconds(entry.mean)}});
    }
  }
  std::sort(routes.begin(), routes.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first
                              : a.second.route < b.second.route;
  });
  routes.resize(std::min(routes.size(), kMaxReportedRoutes));
  std::vector<RouteTime> times;
  for (const auto& [weight, time] : routes) {
    times.push_back(time);
  }
  return times;
}

std::optional<double> WorkTimes::Slowness(Instant now) const {
  double total_weight = 0;
  double local_time = 0;
  double usual_time = 0;
  for (const auto& [route, entry] : this->local_means) {
    const double weight = CurrentWeight(now, entry);
    total_weight += weight;
    local_time += weight * ToSeconds(entry.mean);
    usual_time += weight * ToSeconds(this->Usual(now, route));
  }
  std::optional<double> slowness;
  if (total_weight > kMinWeight) {
    const double prior = kPriorWeight * usual_time / total_weight;
    slowness = (local_time + prior) / (usual_time + prior);
  }
  // Running requests that exceed the mean show a slow server before they end.
  if (this->running.usual > Duration{}) {
    const double running_slowness =
        ToSeconds(this->running.taken) / ToSeconds(this->running.usual);
    if (running_slowness > slowness.value_or(1)) {
      slowness = running_slowness;
    }
  }
  return slowness ? std::optional(std::min(*slowness, kMaxSlowness))
                  : std::nullopt;
}

}  // namespace agaterun::admission
