#include "libraries/node/log_limiter.h"

#include <utility>

namespace agaterun::node {

std::optional<std::uint64_t> LogLimiter::Admit(Instant now) {
  const std::lock_guard lock(this->mutex);
  if (!this->window_start ||
      now - *this->window_start >= this->options.window) {
    this->window_start = now;
    this->written = 0;
  }
  if (this->written >= this->options.lines) {
    ++this->dropped;
    return std::nullopt;
  }
  ++this->written;
  return std::exchange(this->dropped, 0);
}

}  // namespace agaterun::node
