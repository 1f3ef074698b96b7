#ifndef LIBRARIES_DECISION_RETRY_ALLOWANCE_H_
#define LIBRARIES_DECISION_RETRY_ALLOWANCE_H_

#include <tl/expected.hpp>

#include "libraries/base/error.h"

namespace agaterun::decision {

// Number of retries that one visit or call may still spend or lend.
// Unit: whole retries. Never exceeds the number it was constructed with.
class RetryAllowance {
 public:
  struct Options {
    int retries = 3;
  };

  // A negative number of retries counts as zero.
  explicit RetryAllowance(Options options);

  // Lends up to `wanted` retries to a nested call or an attempt. Returns the
  // number lent.
  int Lend(int wanted);

  // Returns retries that a nested call or an attempt did not spend. Fails with
  // ErrorKind::kAllowanceExceedsLoan if `unspent` is greater than what was
  // lent.
  tl::expected<void, Error> Return(int unspent);

  // Spends one retry. Returns false if none remains.
  bool Spend();

  // Retries that may still be spent or lent.
  int Remaining() const { return this->remaining; }

  // Retries that were lent and not returned, including those of lost loans.
  int Lent() const { return this->lent; }

 private:
  int remaining;
  int lent = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_ALLOWANCE_H_
