#include "libraries/proxy/planned_stop.h"

#include <algorithm>

namespace agaterun::proxy {

namespace {

// Time from the stop signal until this node starts leaving. Other nodes may
// send visits to the backend server during this time.
constexpr Duration kServeOnTime = 1200ms;

// Time from the stop signal until the process may exit. Callers need it to
// notice that they must use another node.
constexpr Duration kLeaveTime = 2300ms;

// Time from the stop signal during which requests are accepted. Callers use
// another node by then. Later requests are rejected immediately, since the exit
// of the process might interrupt them.
constexpr Duration kTakeTime = 3s;

// With a short grace period, serving ends after one part of this many, leaving
// after two, and the remaining parts are for requests in flight.
constexpr int kStopParts = 4;

// Time kept free between the latest exit of the process and the kill.
constexpr Duration kStopMargin = 500ms;

}  // namespace

void PlannedStop::Start(Instant now) {
  if (!this->since) {
    this->since = now;
  }
}

bool PlannedStop::TakesRequests(Instant now) const {
  const auto take_time = std::min(kTakeTime, this->grace * 2 / kStopParts);
  return !this->since || now - *this->since < take_time;
}

bool PlannedStop::TakeLeaving(Instant now) {
  const auto serve_on = std::min(kServeOnTime, this->grace / kStopParts);
  if (!this->since || this->has_left || now - *this->since < serve_on) {
    return false;
  }
  this->has_left = true;
  return true;
}

bool PlannedStop::TakeEnd(Instant now, bool is_idle) {
  if (!this->since || this->has_ended) {
    return false;
  }
  const auto elapsed = now - *this->since;
  const auto leave_time = std::min(kLeaveTime, this->grace * 2 / kStopParts);
  const bool is_last_moment = elapsed >= this->grace - kStopMargin;
  const bool is_done = this->has_left && is_idle && elapsed >= leave_time;
  this->has_ended = is_done || is_last_moment;
  return this->has_ended;
}

}  // namespace agaterun::proxy
