#ifndef TESTS_DECISION_VIRTUAL_BACKEND_H_
#define TESTS_DECISION_VIRTUAL_BACKEND_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"

namespace agaterun::decision {

// A backend server on virtual time. It runs `slots` requests at once and queues
// further requests first come, first served.
class VirtualBackend {
 public:
  struct Options {
    int slots = 10;
    Duration service_time = 100ms;
    // Distribution of the service time: 0 is constant, 1 is exponential; values
    // between mix the two, with this fraction exponential.
    double variation = 0;
  };

  VirtualBackend(const Options& options, RandomSource& random)
      : options(options), random(random) {}

  void SetSlowdown(double factor) { this->slowdown = factor; }

  void Start(Instant now, VisitId visit) {
    this->waiting.push_back(visit);
    this->StartWaiting(now);
  }

  void Abort(Instant now, VisitId visit) {
    std::erase(this->waiting, visit);
    std::erase_if(this->running, [&](const auto& running_request) {
      return running_request.second.visit == visit;
    });
    this->StartWaiting(now);
  }

  std::optional<Instant> NextFinishTime() const {
    if (this->running.empty()) {
      return std::nullopt;
    }
    return this->running.begin()->first;
  }

  // Removes and returns the request that finishes first.
  VisitId FinishNext() {
    const auto first = this->running.begin();
    const auto [visit, started_at] = first->second;
    const Instant now = first->first;
    this->running.erase(first);
    this->busy_time += now - started_at;
    this->StartWaiting(now);
    return visit;
  }

  // Total slot time of the finished requests.
  Duration BusyTime() const { return this->busy_time; }

 private:
  struct RunningRequest {
    VisitId visit;
    Instant started_at{};
  };

  void StartWaiting(Instant now) {
    while (!this->waiting.empty() &&
           this->running.size() <
               static_cast<std::size_t>(this->options.slots)) {
      const VisitId visit = this->waiting.front();
      this->waiting.pop_front();
      const double exponential = -std::log(1 - this->random.Unit());
      const double factor =
          1 - this->options.variation + this->options.variation * exponential;
      const auto time = std::chrono::duration_cast<Duration>(
          this->options.service_time * this->slowdown * factor);
      this->running.emplace(now + std::max<Duration>(time, 1us),
                            RunningRequest{visit, now});
    }
  }

  Options options;
  RandomSource& random;
  double slowdown = 1;
  std::deque<VisitId> waiting;
  std::multimap<Instant, RunningRequest> running;
  Duration busy_time{};
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_VIRTUAL_BACKEND_H_
