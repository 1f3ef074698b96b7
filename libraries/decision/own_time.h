#ifndef LIBRARIES_DECISION_OWN_TIME_H_
#define LIBRARIES_DECISION_OWN_TIME_H_

#include "libraries/base/time.h"

namespace agaterun::decision {

// Time that a visit spent in its backend server with no nested call out.
class OwnTime {
 public:
  void Start(Instant now) { this->started = now; }

  void NestedCallStarted(Instant now) {
    if (this->nested_out++ == 0) {
      this->nested_since = now;
    }
  }

  void NestedCallEnded(Instant now) {
    if (this->nested_out == 0) {
      return;
    }
    if (--this->nested_out == 0) {
      this->nested += now - this->nested_since;
    }
  }

  // Time since Start, nested calls included.
  Duration Total(Instant now) const { return now - this->started; }

  // Time since Start less the time with at least one nested call out.
  Duration Own(Instant now) const {
    const Duration open =
        this->nested_out > 0 ? now - this->nested_since : Duration{};
    return this->Total(now) - this->nested - open;
  }

 private:
  Instant started{};
  Instant nested_since{};
  Duration nested{};
  int nested_out = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_OWN_TIME_H_
