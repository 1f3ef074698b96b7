#include "libraries/proxy/planned_stop.h"

#include <algorithm>

namespace agaterun::proxy {

namespace {

// After the signal to stop, other nodes may use the backend server for this
// long.
constexpr Duration kServeOnTime = 1200ms;

// Callers need this long to notice that they are to go elsewhere.
constexpr Duration kLeaveTime = 2300ms;

// Callers go elsewhere by then. Whoever still comes is told to at once: it
// might be cut at the end.
constexpr Duration kTakeTime = 3s;

// A short grace is divided into as many parts: serving on, leaving, the rest.
constexpr int kStopParts = 4;

// Kept between the last moment of a planned stop and the kill.
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
