#include "libraries/decision/retry_after.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

constexpr Duration kMemory = 1s;
constexpr double kShortestSeconds = 0.2;
constexpr double kLongestSeconds = 10;

}  // namespace

void RetryAfter::Fade(Instant now) {
  const double fading =
      std::exp(-ToSeconds(now - this->last) / ToSeconds(kMemory));
  this->starts *= fading;
  this->refusals *= fading;
  this->last = now;
}

void RetryAfter::OnStart(Instant now) {
  this->Fade(now);
  this->starts += 1;
}

Duration RetryAfter::OnRefusal(Instant now, std::size_t queued) {
  this->Fade(now);
  this->refusals += 1;
  const double backlog = this->refusals + static_cast<double>(queued);
  const double seconds = std::clamp(backlog / std::max(this->starts, 1.0),
                                    kShortestSeconds, kLongestSeconds);
  // Between half and one and a half of it: returns arrive as a level stream.
  const double spread = seconds * (0.5 + this->random.Unit());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(spread));
}

}  // namespace agaterun::decision
