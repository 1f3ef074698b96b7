#include "libraries/decision/retry_allowance.h"

#include <algorithm>

namespace agaterun::decision {

RetryAllowance::RetryAllowance(Options options)
    : remaining(std::max(0, options.retries)) {}

int RetryAllowance::Lend(int wanted) {
  // A lost answer never returns its loan. The sum over the whole call graph
  // can therefore only fall, which is what bounds the retries of one request.
  const int granted = std::clamp(wanted, 0, this->remaining);
  this->remaining -= granted;
  this->lent += granted;
  return granted;
}

tl::expected<void, Error> RetryAllowance::Return(int unspent) {
  // A peer's word is not trusted: returning more than was lent would let one
  // faulty node multiply retries for the whole chain above it.
  if (unspent < 0 || unspent > this->lent) {
    return MakeError(ErrorKind::kAllowanceExceedsLoan,
                     "more retries came back than were lent; drop the excess "
                     "and check the version of the node that answered");
  }
  this->lent -= unspent;
  this->remaining += unspent;
  return {};
}

bool RetryAllowance::Spend() {
  if (this->remaining == 0) {
    return false;
  }
  --this->remaining;
  return true;
}

}  // namespace agaterun::decision
