#include "libraries/retries/recent_completions.h"

#include <utility>

namespace agaterun::retries {

namespace {

constexpr Duration kPeriod = 10s;
constexpr std::size_t kMaxPerPeriod = 4096;

}  // namespace

void RecentCompletions::Record(Instant now, std::uint64_t fingerprint) {
  if (now - this->current_since > kPeriod ||
      this->current.size() >= kMaxPerPeriod) {
    this->previous = std::exchange(this->current, {});
    if (now - this->current_since > 2 * kPeriod) {
      this->previous.clear();
    }
    this->current_since = now;
  }
  this->current.insert(fingerprint);
}

bool RecentCompletions::Contains(Instant now, std::uint64_t fingerprint) const {
  const auto age = now - this->current_since;
  return (age <= 2 * kPeriod && this->current.contains(fingerprint)) ||
         (age <= kPeriod && this->previous.contains(fingerprint));
}

}  // namespace agaterun::retries
