#ifndef LIBRARIES_DECISION_RETRY_AFTER_H_
#define LIBRARIES_DECISION_RETRY_AFTER_H_

#include "libraries/base/random.h"
#include "libraries/base/time.h"

namespace agaterun::decision {

// Computes the time after which a refused caller should retry: the time that
// the recently refused and the queued work would take, with jitter so that
// retries do not arrive together.
class RetryAfter {
 public:
  // `random` must outlive this object.
  explicit RetryAfter(RandomSource& random) : random(random) {}

  // A request was sent to the backend server.
  void OnStart(Instant now);

  // A request was refused while `queued` others waited. Returns the time after
  // which its caller should retry.
  Duration OnRefusal(Instant now, std::size_t queued);

 private:
  void DecayCounts(Instant now);

  RandomSource& random;
  Instant last_decay{};
  // Exponentially decaying counts, each equivalent to about one second of
  // events.
  double starts = 0;
  double refusals = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_AFTER_H_
