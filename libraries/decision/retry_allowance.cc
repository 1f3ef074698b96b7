#include "libraries/decision/retry_allowance.h"

#include <algorithm>

namespace agaterun::decision {

RetryAllowance::RetryAllowance(Options options)
    : remaining(std::max(0, options.retries)) {}

int RetryAllowance::Lend(int wanted) {
  // The loan of an attempt without a reply is never returned. The sum over the
  // whole call graph can therefore only decrease, which bounds the number of
  // retries of one request.
  const int granted = std::clamp(wanted, 0, this->remaining);
  this->remaining -= granted;
  this->lent += granted;
  return granted;
}

tl::expected<void, Error> RetryAllowance::Return(int unspent) {
  // The peer's value is not trusted: by returning more than was lent, one
  // faulty node could multiply the retries of the whole chain above it.
  if (unspent < 0 || unspent > this->lent) {
    return MakeError(ErrorKind::kAllowanceExceedsLoan,
                     "more retries were returned than were lent; drop the "
                     "excess and check the version of the node that replied");
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
