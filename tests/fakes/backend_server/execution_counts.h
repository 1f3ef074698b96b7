#ifndef TESTS_FAKES_BACKEND_SERVER_EXECUTION_COUNTS_H_
#define TESTS_FAKES_BACKEND_SERVER_EXECUTION_COUNTS_H_

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace agaterun::fakes {

// How often each request id was run. Forgets the oldest ids at the limit.
class ExecutionCounts {
 public:
  explicit ExecutionCounts(std::size_t limit) : limit(limit) {}

  void Add(const std::string& request_id) {
    if (++this->counts[request_id] > 1) {
      return;
    }
    this->order.push_back(request_id);
    if (this->order.size() > this->limit) {
      this->counts.erase(this->order.front());
      this->order.pop_front();
    }
  }

  const std::unordered_map<std::string, int>& All() const {
    return this->counts;
  }

 private:
  std::size_t limit;
  std::unordered_map<std::string, int> counts;
  std::deque<std::string> order;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_EXECUTION_COUNTS_H_
