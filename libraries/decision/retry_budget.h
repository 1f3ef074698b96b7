#ifndef LIBRARIES_DECISION_RETRY_BUDGET_H_
#define LIBRARIES_DECISION_RETRY_BUDGET_H_

#include <array>

#include "libraries/base/time.h"

namespace agaterun::decision {

// Limits the retries that one node sends to a fraction of its first attempts in
// a sliding second, regardless of the retry allowances of single requests.
class RetryBudget {
 public:
  struct Options {
    double ratio = 0.1;  // Retries per first attempt.
    // Retries per second that are allowed even if there are hardly any calls.
    int minimum = 3;
  };

  explicit RetryBudget(Options options) : options(options) {}

  void SetRatio(double ratio) { this->options.ratio = ratio; }

  // Records the first attempt of a call.
  void RecordFirstAttempt(Instant now);

  // Spends one retry. Returns false if the budget is spent.
  bool TrySpend(Instant now);

 private:
  static constexpr Duration kSlice = 100ms;
  static constexpr int kSlices = 10;

  struct Slice {
    std::int64_t number = -1;  // Start time in units of kSlice.
    int first_attempts = 0;
    int retries = 0;
  };

  Slice& CurrentSlice(Instant now);

  Options options;
  std::array<Slice, kSlices> slices;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_BUDGET_H_
