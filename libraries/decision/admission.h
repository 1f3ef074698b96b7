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

// Decides which requests go to the backend server, which wait and which are
// refused. Knows nothing of attempts, bindings and replies.
class Admission {
 public:
  struct Options {
    MechanismSet disabled;
  };

  // What admission needs to know of a request.
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
    // A queued visit to refuse in favour of the new one.
    std::optional<VisitId> displaced;
  };

  // `random` outlives this.
  Admission(Options options, RandomSource& random);

  // The service's state and the weights of shares that policies name.
  void SetState(const ServiceState& service,
                std::map<std::string, double, std::less<>> weights);

  // Decides about a request that arrived. kStart and kQueue must be followed
  // by OnStart or Push.
  Decision Decide(Instant now, const Candidate& candidate);

  // Whether a request like this one would get a slot or a place in the queue.
  bool WouldAdmit(Instant now, Importance importance, std::uint16_t key);

  void Push(Instant now, VisitId visit, const Candidate& candidate);

  // Takes out the queued visit that may start now, or nothing.
  std::optional<VisitId> Pop(Instant now);

  // A queued visit ended without being started.
  void Remove(VisitId visit) { this->queue.Remove(visit); }

  // Whether a started request could still be done by `deadline`.
  bool CanFinish(Instant now, std::string_view route, Instant deadline) const;

  // Instant at which a request that is queued now has waited long enough.
  Instant QueueDeadline(Instant now, const Candidate& candidate) const;

  // Whether a queued request that has waited its time may wait on, since less
  // important work is still admitted.
  bool MayExtendWait(Instant now, const Candidate& candidate);

  // A queued visit to refuse because a more important request was refused, or
  // nothing.
  std::optional<VisitId> FindLessImportant(Importance importance) const;

  void OnStart(Instant now);
  void OnFinished(Instant now,
                  std::string_view route,
                  Duration total_time,
                  Duration own_time);
  // Given up or broken off after `total`.
  void OnAborted(Instant now,
                 std::string_view route,
                 Duration total_time,
                 Duration own_time);
  // Not run by the backend server, which said so when `shed`.
  void OnNotRun(Instant now, bool shed);
  // A queued visit was refused or waited too long.
  void OnOverload(Instant now, Importance importance, std::uint16_t key) {
    this->threshold.OnOverload(now, importance, key);
  }

  // When a refused caller should come back.
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
  // Queued visits that can get a slot within the queue time.
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

// What admission needs to know of a request with this deadline. Refers to the
// request's strings.
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
