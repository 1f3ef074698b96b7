#ifndef LIBRARIES_DECISION_ADMISSION_H_
#define LIBRARIES_DECISION_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/admission_queue.h"
#include "libraries/decision/admission_threshold_controller.h"
#include "libraries/decision/concurrency_limit.h"
#include "libraries/decision/mechanism.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/retry_after.h"
#include "libraries/decision/service_times.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// Decides for each request whether it starts at the backend server, waits in
// the queue or is refused. Does not depend on attempts, bindings or replies.
class Admission {
 public:
  struct Options {
    MechanismSet disabled;
  };

  // The properties of a request that the admission decision depends on.
  struct Candidate {
    std::string_view route;
    std::string_view share;
    Importance importance = Importance::kNormal;
    std::uint16_t admission_key = 0;
    Instant deadline{};
  };

  enum class Verdict : std::uint8_t { kStart, kQueue, kRefuse };

  struct Decision {
    Verdict verdict = Verdict::kRefuse;
    Reason reason = Reason::kNone;
    // Queued visit that must be refused to make room for the new one.
    std::optional<VisitId> displaced;
  };

  // `random` must outlive this object.
  Admission(Options options, RandomSource& random);

  // Sets the service's state and the weights of the shares that policies name.
  void SetState(const ServiceState& service,
                std::map<std::string, double, std::less<>> weights);

  // Decides on a request that arrived. After kStart the caller must call
  // OnStart, after kQueue it must call Push.
  Decision Decide(Instant now, const Candidate& candidate);

  // Whether a request of this importance and admission key would get a slot or
  // a place in the queue.
  bool WouldAdmit(Instant now, Importance importance, std::uint16_t key);

  void Push(Instant now, VisitId visit, const Candidate& candidate);

  // Removes and returns the queued visit that may start now, or nothing.
  std::optional<VisitId> Pop(Instant now);

  // Removes a queued visit that ended without being started.
  void Remove(VisitId visit) { this->queue.Remove(visit); }

  // Whether a request that starts now is expected to finish by `deadline`.
  bool CanFinish(Instant now, std::string_view route, Instant deadline) const;

  // Instant until which a request that is queued now may wait: the end of the
  // queue time, or its deadline if that is earlier.
  Instant QueueDeadline(Instant now, const Candidate& candidate) const;

  // Whether a queued request that has used up its queue time may keep waiting,
  // because less important requests are still admitted.
  bool MayExtendWait(Instant now, const Candidate& candidate);

  // Queued visit that is less important than `importance`, to be refused
  // because a request of that importance was refused; or nothing.
  std::optional<VisitId> FindLessImportant(Importance importance) const;

  void OnStart(Instant now);
  void OnFinished(Instant now,
                  std::string_view route,
                  Duration total_time,
                  Duration own_time);
  // The request was aborted or its connection broke after `total_time`.
  void OnAborted(Instant now,
                 std::string_view route,
                 Duration total_time,
                 Duration own_time);
  // The backend server did not run the request. `shed` is set when the backend
  // server itself rejected it as overloaded.
  void OnNotRun(Instant now, bool shed);
  // A queued visit was refused or exceeded its queue time.
  void OnOverload(Instant now, Importance importance, std::uint16_t key) {
    this->threshold.OnOverload(now, importance, key);
  }

  // How long a refused caller should wait before it retries.
  Duration ComputeRetryAfter(Instant now);

  AdmissionThreshold Threshold(Instant now);
  int Running() const { return this->running; }
  int Limit() const;
  std::size_t Queued() const { return this->queue.Size(); }

 private:
  bool Enabled(Mechanism mechanism) const {
    return !this->options.disabled.Has(mechanism);
  }
  bool HasFreeSlot(Instant now, Importance importance, std::uint16_t key);
  void ReleaseSlot(Instant now);
  double WeightOf(std::string_view share) const;
  // Length of the queue at which each visit can still get a slot within the
  // queue time.
  std::size_t QueueCapacity(Instant now) const;

  Options options;
  Duration queue_time = 100ms;
  std::map<std::string, double, std::less<>> weights;
  ConcurrencyLimit limit;
  AdmissionQueue queue;
  AdmissionThresholdController threshold;
  ServiceTimes service_times;
  RetryAfter retry_after;
  int running = 0;
};

// Returns the properties of `request` that admission depends on. The result
// refers to the request's strings.
inline Admission::Candidate MakeCandidate(const VisitRequest& request,
                                          Instant deadline) {
  return {.route = request.route,
          .share = request.share,
          .importance = request.importance,
          .admission_key = request.admission_key,
          .deadline = deadline};
}

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ADMISSION_H_
