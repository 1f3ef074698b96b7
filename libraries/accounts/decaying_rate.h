#ifndef LIBRARIES_ACCOUNTS_DECAYING_RATE_H_
#define LIBRARIES_ACCOUNTS_DECAYING_RATE_H_

#include <algorithm>
#include <numbers>

#include "libraries/base/freshness.h"
#include "libraries/base/time.h"

namespace agaterun::accounts {

// Events per second, averaged with weights that halve every `half_life`.
class DecayingRate {
 public:
  explicit DecayingRate(Duration half_life) : half_life(half_life) {}

  // Counts `events`; negative to take back events that were counted before.
  void Add(Instant now, double events) {
    this->count = std::max(0.0, this->DecayedCount(now) + events);
    this->counted_at = now;
  }

  double PerSecond(Instant now) const {
    return this->DecayedCount(now) * std::numbers::ln2 /
           ToSeconds(this->half_life);
  }

 private:
  double DecayedCount(Instant now) const {
    return this->count * Freshness(now - this->counted_at, this->half_life);
  }

  Duration half_life;
  double count = 0;
  Instant counted_at{};
};

}  // namespace agaterun::accounts

#endif  // LIBRARIES_ACCOUNTS_DECAYING_RATE_H_
