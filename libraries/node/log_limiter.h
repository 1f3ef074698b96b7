#ifndef LIBRARIES_NODE_LOG_LIMITER_H_
#define LIBRARIES_NODE_LOG_LIMITER_H_

#include <cstdint>
#include <mutex>
#include <optional>

#include "libraries/base/time.h"

namespace agaterun::node {

// Limits the rate of log lines that other hosts can cause.
class LogLimiter {
 public:
  struct Options {
    std::uint64_t lines = 20;  // Per window.
    Duration window = 1s;
  };

  explicit LogLimiter(Options options) : options(options) {}

  // Returns the number of lines dropped since the last written line, or nullopt
  // when the line must be dropped.
  std::optional<std::uint64_t> Admit(Instant now);

 private:
  const Options options;
  std::mutex mutex;
  std::optional<Instant> window_start;
  std::uint64_t written = 0;
  std::uint64_t dropped = 0;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_LOG_LIMITER_H_
