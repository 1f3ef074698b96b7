#include "libraries/proxy/planned_stop.h"

#include <algorithm>

namespace agaterun::proxy {

namespace {

// Time from the stop signal until this node starts leaving. Other nodes may
// send visits to the backend server during this time.
constexpr Duration kLeavingDelay = 1200ms;

// Time from the stop signal until the process may exit. Callers need it to
// notice that they must use another node.
constexpr Duration kMinStopTime = 2300ms;

// Time from the stop signal during which requests are accepted. Callers use
// another node by then. Later requests are rejected immediately, since the exit
// of the process might interrupt them.
constexpr Duration kAcceptTime = 3s;

// With a short grace period, serving ends after one part of this many, leaving
// after two, and the remaining parts are for requests in flight.
constexpr int kGraceDivisor = 4;

// Time kept free between the latest exit of the process and the kill.
constexpr Duration kStopMargin = 500ms;

}  // namespace

void PlannedStop::Start(Instant now) {
  if (!this->started_at) {
    this->started_at = now;
  }
}

bool PlannedStop::AcceptsRequests(Instant now) const {
  const auto accept_time =
      std::min(kAcceptTime, this->grace * 2 / kGraceDivisor);
  return !this->started_at || now - *this->started_at < accept_time;
}

bool PlannedStop::StartLeavingIfDue(Instant now) {
  const auto leaving_delay =
      std::min(kLeavingDelay, this->grace / kGraceDivisor);
  if (!this->started_at || this->has_started_leaving ||
      now - *this->started_at < leaving_delay) {
    return false;
  }
  this->has_started_leaving = true;
  return true;
}

bool PlannedStop::FinishIfDue(Instant now, bool is_idle) {
  if (!this->started_at || this->has_finished) {
    return false;
  }
  const auto elapsed = now - *this->started_at;
  const auto min_stop_time =
      std::min(kMinStopTime, this->grace * 2 / kGraceDivisor);
  const bool is_last_moment = elapsed >= this->grace - kStopMargin;
  const bool is_done =
      this->has_started_leaving && is_idle && elapsed >= min_stop_time;
  this->has_finished = is_done || is_last_moment;
  return this->has_finished;
}

}  // namespace agaterun::proxy
