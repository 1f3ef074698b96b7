#ifndef LIBRARIES_RETRIES_SLIDING_SUM_H_
#define LIBRARIES_RETRIES_SLIDING_SUM_H_

#include <deque>

#include "libraries/base/time.h"

namespace agaterun::retries {

// Sum of the amounts that were added within a duration up to now.
class SlidingSum {
 public:
  // Amounts that are added within `slice` of each other are kept as one, with
  // the time of the first, so that they leave the sum early rather than late.
  explicit SlidingSum(Duration slice = {}) : slice(slice) {}

  void Add(Instant now, double amount);

  // The sum over the last `window`. Forgets older amounts, so that a later call
  // with a longer window doesn't find them.
  double Over(Instant now, Duration window);

 private:
  struct Entry {
    Instant time{};
    double amount = 0;
  };

  Duration slice;
  std::deque<Entry> entries;
  double sum = 0;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_SLIDING_SUM_H_
