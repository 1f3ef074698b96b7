#ifndef LIBRARIES_DECISION_RETRY_ALLOWANCE_H_
#define LIBRARIES_DECISION_RETRY_ALLOWANCE_H_

#include <tl/expected.hpp>

#include "libraries/base/error.h"

namespace agaterun::decision {

// Retries that one visit or call may still spend or hand on.
// Units: whole retries. Never grows beyond what it was constructed with.
class RetryAllowance {
 public:
  struct Options {
    int retries = 3;
  };

  // A negative number of retries counts as none.
  explicit RetryAllowance(Options options);

  // Takes up to `wanted` retries for a nested call or an attempt and returns
  // how many it got.
  int Lend(int wanted);

  // Takes back what a nested call or an attempt did not spend. Fails with
  // ErrorKind::kAllowanceExceedsLoan when more comes back than was lent.
  tl::expected<void, Error> Return(int unspent);

  // Spends one retry. False when none is left.
  bool Spend();

  // Retries that may still be spent or lent.
  int Remaining() const { return this->remaining; }

  // Retries that were lent and have not come back; lost loans stay in it.
  int Lent() const { return this->lent; }

 private:
  int remaining;
  int lent = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_ALLOWANCE_H_
