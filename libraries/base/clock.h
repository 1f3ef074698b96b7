#ifndef LIBRARIES_BASE_CLOCK_H_
#define LIBRARIES_BASE_CLOCK_H_

#include "libraries/base/time.h"

namespace agaterun {

// Source of the current instant. Tests put a virtual one in its place.
class Clock {
 public:
  virtual ~Clock() = default;
  virtual Instant Now() const = 0;
};

// The monotonic clock of this process, which goes on while it is paused.
class MonotonicClock final : public Clock {
 public:
  Instant Now() const override;
};

}  // namespace agaterun

#endif  // LIBRARIES_BASE_CLOCK_H_
