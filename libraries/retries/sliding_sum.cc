#include "libraries/retries/sliding_sum.h"

namespace agaterun::retries {

void SlidingSum::Add(Instant now, double amount) {
  this->sum += amount;
  if (!this->entries.empty() && now - this->entries.back().time < this->slice) {
    this->entries.back().amount += amount;
    return;
  }
  this->entries.push_back({.time = now, .amount = amount});
}

double SlidingSum::Over(Instant now, Duration window) {
  while (!this->entries.empty() && now - this->entries.front().time > window) {
    this->sum -= this->entries.front().amount;
    this->entries.pop_front();
  }
  if (this->entries.empty()) {
    // Removes what rounding has left.
    this->sum = 0;
  }
  return this->sum;
}

}  // namespace agaterun::retries
