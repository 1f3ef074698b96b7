#ifndef LIBRARIES_DECISION_RETRY_BUDGET_H_
#define LIBRARIES_DECISION_RETRY_BUDGET_H_

#include <array>

#include "libraries/base/time.h"

namespace agaterun::decision {

// Retries that one node may send: a share of its first tries over a sliding
// second, whatever the allowances of single requests say.
class RetryBudget {
 public:
  struct Options {
    double share = 0.1;  // Retries per first try.
    // Retries per second that are allowed also when hardly any call comes.
    int minimum = 3;
  };

  explicit RetryBudget(Options options) : options(options) {}

  void SetShare(double share) { this->options.share = share; }

  // Notes the first try of a call.
  void AddFirstTry(Instant now);

  // Takes one retry. False when the budget is spent.
  bool Take(Instant now);

 private:
  static constexpr Duration kSlice = 100ms;
  static constexpr int kSlices = 10;

  struct Slice {
    std::int64_t number = -1;  // Instants in units of kSlice.
    int first_tries = 0;
    int retries = 0;
  };

  Slice& Current(Instant now);

  Options options;
  std::array<Slice, kSlices> slices;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_BUDGET_H_
