#include "libraries/decision/service_times.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

// Bounds the table, because route names come from peers. A ticket names far
// fewer routes.
constexpr std::size_t kRouteCapacity = 1024;

// Weight of one new sample in the moving average.
constexpr double kSampleWeight = 0.125;

// An estimate without new samples is halved after each such interval. Otherwise
// an estimate that exceeds every deadline would refuse the very requests that
// could correct it.
constexpr Duration kHalfLife = 250ms;

}  // namespace

void ServiceTimes::Update(Instant now, Estimate& estimate, double seconds) {
  const double mean = ToSeconds(Decayed(now, estimate));
  estimate.mean =
      estimate.mean == 0 ? seconds : mean + kSampleWeight * (seconds - mean);
  estimate.last = now;
}

void ServiceTimes::Add(Instant now, std::string_view route, Duration time) {
  const double seconds = ToSeconds(time);
  Update(now, this->overall, seconds);
  auto found = this->routes.find(route);
  if (found == this->routes.end()) {
    if (this->routes.size() >= kRouteCapacity) {
      this->routes.clear();
    }
    found = this->routes.emplace(std::string(route), Estimate{}).first;
  }
  Update(now, found->second, seconds);
}

void ServiceTimes::AddUnfinished(Instant now,
                                 std::string_view route,
                                 Duration time) {
  // The time is only a lower bound, so it may raise the estimate but must not
  // lower it.
  if (time > this->Expected(now, route)) {
    this->Add(now, route, time);
  }
}

Duration ServiceTimes::Decayed(Instant now, const Estimate& estimate) {
  const Duration mean = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(estimate.mean));
  // A long request can't yield a sample before it has finished, so the decay
  // starts only after the expected time.
  const Duration idle_time = now - estimate.last - mean;
  if (idle_time < kHalfLife) {
    return mean;
  }
  const auto halvings = std::min<std::int64_t>(idle_time / kHalfLife, 40);
  return mean / (std::int64_t{1} << halvings);
}

Duration ServiceTimes::Expected(Instant now, std::string_view route) const {
  const auto found = this->routes.find(route);
  return found == this->routes.end() ? Duration{} : Decayed(now, found->second);
}

Duration ServiceTimes::ExpectedForAnyRoute(Instant now) const {
  return Decayed(now, this->overall);
}

}  // namespace agaterun::decision
