#include "libraries/decision/retry_after.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

constexpr Duration kDecayTime = 1s;
constexpr double kMinSeconds = 0.2;
constexpr double kMaxSeconds = 10;

}  // namespace

void RetryAfter::DecayCounts(Instant now) {
  const double decay =
      std::exp(-ToSeconds(now - this->last_decay) / ToSeconds(kDecayTime));
  this->starts *= decay;
  this->refusals *= decay;
  this->last_decay = now;
}

void RetryAfter::OnStart(Instant now) {
  this->DecayCounts(now);
  this->starts += 1;
}

Duration RetryAfter::OnRefusal(Instant now, std::size_t queued) {
  this->DecayCounts(now);
  this->refusals += 1;
  const double backlog = this->refusals + static_cast<double>(queued);
  const double seconds = std::clamp(backlog / std::max(this->starts, 1.0),
                                    kMinSeconds, kMaxSeconds);
  // Jitter between 0.5 and 1.5 times the base makes retries arrive as an even
  // stream.
  const double jittered = seconds * (0.5 + this->random.Unit());
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(jittered));
}

}  // namespace agaterun::decision
