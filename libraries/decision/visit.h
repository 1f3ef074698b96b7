#ifndef LIBRARIES_DECISION_VISIT_H_
#define LIBRARIES_DECISION_VISIT_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/own_time.h"
#include "libraries/decision/retry_allowance.h"

namespace agaterun::decision {

// An attempt whose origin waits for the final reply to the visit.
struct VisitWaiter {
  NodeAddress from;
  AttemptId attempt;
  int allowance = 0;
};

inline VisitWaiter MakeWaiter(const VisitArrived& event) {
  return {.from = event.from,
          .attempt = event.request.attempt,
          .allowance = event.request.allowance};
}

enum class VisitPhase : std::uint8_t {
  kQueued,
  kRunning,
  // Still running without waiters, so that its response can be returned when a
  // caller resends.
  kAbandoned,
};

// A request at its gate, from admission until its final reply.
struct Visit {
  VisitRequest request;  // The request as received with the first attempt.
  std::vector<VisitWaiter> waiters;
  VisitPhase phase = VisitPhase::kQueued;
  Instant arrived{};
  Instant deadline{};
  // Instant at which OnTick has to process the visit.
  Instant due{};
  OwnTime time;
  RetryAllowance allowance{{.retries = 0}};
  bool suspect = false;
  // Strictest thresholds that nested calls returned, by service.
  std::vector<std::pair<std::string, AdmissionThreshold>> thresholds;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_VISIT_H_
