#ifndef LIBRARIES_DECISION_OWN_TIME_H_
#define LIBRARIES_DECISION_OWN_TIME_H_

#include "libraries/base/time.h"

namespace agaterun::decision {

// Measures the own time of a visit: the time that it spent in its backend
// server while no nested call was in flight.
class OwnTime {
 public:
  void Start(Instant now) { this->started_at = now; }

  void NestedCallStarted(Instant now) {
    if (this->nested_in_flight++ == 0) {
      this->nested_started_at = now;
    }
  }

  void NestedCallEnded(Instant now) {
    if (this->nested_in_flight == 0) {
      return;
    }
    if (--this->nested_in_flight == 0) {
      this->nested_time += now - this->nested_started_at;
    }
  }

  // Time since Start, including nested calls.
  Duration Total(Instant now) const { return now - this->started_at; }

  // Time since Start minus the time with at least one nested call in flight.
  Duration Own(Instant now) const {
    const Duration current_nested_time =
        this->nested_in_flight > 0 ? now - this->nested_started_at : Duration{};
    return this->Total(now) - this->nested_time - current_nested_time;
  }

 private:
  Instant started_at{};
  Instant nested_started_at{};
  Duration nested_time{};
  int nested_in_flight = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_OWN_TIME_H_
