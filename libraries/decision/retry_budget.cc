#include "libraries/decision/retry_budget.h"

#include <algorithm>

namespace agaterun::decision {

RetryBudget::Slice& RetryBudget::CurrentSlice(Instant now) {
  const auto number = now / kSlice;
  auto& slice = this->slices[static_cast<std::size_t>(number % kSlices)];
  if (slice.number != number) {
    slice = Slice{.number = number};
  }
  return slice;
}

void RetryBudget::RecordFirstAttempt(Instant now) {
  ++this->CurrentSlice(now).first_attempts;
}

bool RetryBudget::TrySpend(Instant now) {
  auto& current = this->CurrentSlice(now);
  int first_attempts = 0;
  int retries = 0;
  for (const auto& slice : this->slices) {
    if (slice.number > current.number - kSlices) {
      first_attempts += slice.first_attempts;
      retries += slice.retries;
    }
  }
  const auto allowed = std::max(static_cast<double>(this->options.minimum),
                                this->options.ratio * first_attempts);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace agaterun::decision
