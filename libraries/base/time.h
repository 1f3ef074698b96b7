#ifndef LIBRARIES_BASE_TIME_H_
#define LIBRARIES_BASE_TIME_H_

#include <chrono>

namespace agaterun {

using Duration = std::chrono::nanoseconds;

// A point on the monotonic clock of one process, counted from an arbitrary
// start. Instants of different processes are never compared.
using Instant = std::chrono::nanoseconds;

using namespace std::chrono_literals;  // NOLINT(google-build-using-namespace)

inline double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace agaterun

#endif  // LIBRARIES_BASE_TIME_H_
