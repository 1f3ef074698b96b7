#ifndef TESTS_FAKES_VIRTUAL_TIME_H_
#define TESTS_FAKES_VIRTUAL_TIME_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "libraries/base/time.h"

namespace agaterun {

// Runs steps in the order of their instants, without a clock. Steps of one
// instant run in the order in which they were added.
class VirtualTime {
 public:
  using Step = std::function<void()>;

  void At(Instant instant, Step step) {
    this->steps.emplace(std::pair(instant, this->added++), std::move(step));
  }
  void After(Duration delay, Step step) {
    this->At(this->now + delay, std::move(step));
  }

  // Runs what is due up to and at `end`; steps may add steps.
  void RunUntil(Instant end) {
    while (!this->steps.empty() && this->steps.begin()->first.first <= end) {
      auto node = this->steps.extract(this->steps.begin());
      this->now = node.key().first;
      node.mapped()();
    }
    this->now = end;
  }

  Instant Now() const { return this->now; }

 private:
  Instant now = Instant{1s};
  std::uint64_t added = 0;
  std::map<std::pair<Instant, std::uint64_t>, Step> steps;
};

}  // namespace agaterun

#endif  // TESTS_FAKES_VIRTUAL_TIME_H_
