#ifndef LIBRARIES_DECISION_RETRY_AFTER_H_
#define LIBRARIES_DECISION_RETRY_AFTER_H_

#include "libraries/base/random.h"
#include "libraries/base/time.h"

namespace agaterun::decision {

// Says when a refused caller should come back: after the time that the work
// refused and queued lately would take, spread so that returns don't meet.
class RetryAfter {
 public:
  // `random` outlives this.
  explicit RetryAfter(RandomSource& random) : random(random) {}

  // A request went to the backend server.
  void OnStart(Instant now);

  // A refused request; `queued` others wait. Returns when to come back.
  Duration OnRefusal(Instant now, std::size_t queued);

 private:
  void DecayCounts(Instant now);

  RandomSource& random;
  Instant last_decay{};
  // Counts that fade, so that each stands for about one second.
  double starts = 0;
  double refusals = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_AFTER_H_
