#include "libraries/base/clock.h"

namespace agaterun {

Instant MonotonicClock::Now() const {
  return std::chrono::steady_clock::now().time_since_epoch();
}

}  // namespace agaterun
