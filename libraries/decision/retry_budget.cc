#include "libraries/decision/retry_budget.h"

#include <algorithm>

namespace agaterun::decision {

RetryBudget::Slice& RetryBudget::Current(Instant now) {
  const auto number = now / kSlice;
  auto& slice = this->slices[static_cast<std::size_t>(number % kSlices)];
  if (slice.number != number) {
    slice = Slice{.number = number};
  }
  return slice;
}

void RetryBudget::AddFirstTry(Instant now) {
  ++this->Current(now).first_tries;
}

bool RetryBudget::Take(Instant now) {
  auto& current = this->Current(now);
  int first_tries = 0;
  int retries = 0;
  for (const auto& slice : this->slices) {
    if (slice.number > current.number - kSlices) {
      first_tries += slice.first_tries;
      retries += slice.retries;
    }
  }
  const auto allowed = std::max(static_cast<double>(this->options.minimum),
                                this->options.share * first_tries);
  if (retries + 1 > allowed) {
    return false;
  }
  ++current.retries;
  return true;
}

}  // namespace agaterun::decision
