#ifndef LIBRARIES_DECISION_CALL_H_
#define LIBRARIES_DECISION_CALL_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/decision/call_outcome.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/retry_allowance.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// What a call waits for.
enum class CallPhase : std::uint8_t {
  kRunning,     // The reply to an attempt that runs the request.
  kIssuing,     // A binding to run under, or to return to the caller.
  kRebinding,   // A binding at another gate, after a bound run was refused.
  kMoving,      // The old gate's record of the new binding.
  kConfirming,  // State of the new binding, after a move got no reply.
  kQuerying,    // State of a binding that the caller queried.
  kJoined,      // The response to the call that it joined.
};

inline constexpr std::array kCallPhaseNames = {
    EnumName<CallPhase>{CallPhase::kRunning, "running"},
    EnumName<CallPhase>{CallPhase::kIssuing, "issuing"},
    EnumName<CallPhase>{CallPhase::kRebinding, "rebinding"},
    EnumName<CallPhase>{CallPhase::kMoving, "moving"},
    EnumName<CallPhase>{CallPhase::kConfirming, "confirming"},
    EnumName<CallPhase>{CallPhase::kQuerying, "querying"},
    EnumName<CallPhase>{CallPhase::kJoined, "joined"},
};

// An attempt of a call that is under way.
struct AttemptInFlight {
  NodeAddress gate;
  VisitKind kind = VisitKind::kRun;
  std::uint32_t number = 0;
  Instant sent_at{};
  int loan = 0;  // Retries lent to it.
};

// A call at its origin, until its final response.
struct Call {
  CallId id = 0;
  // May be null for a query of a binding.
  std::shared_ptr<const ServiceState> service;
  Instant deadline{};
  // Fields common to all attempts of the call.
  VisitRequest request;
  std::optional<VisitId> parent;
  std::string idempotency_key;
  RetryAllowance allowance{{.retries = 0}};
  CallOutcome outcome{{}};
  CallPhase phase = CallPhase::kRunning;
  std::optional<AttemptInFlight> attempt;
  std::uint32_t attempts_sent = 0;  // Number of attempts sent so far.

  // Gates that refused the call, or where an attempt of it was lost.
  std::vector<NodeAddress> tried_gates;
  bool retried_for_capacity = false;

  // Binding in force, and the one that it is being moved to.
  std::optional<Binding> binding;
  std::optional<Binding> new_binding;
  // This node obtained the binding, and no attempt under it was sent before.
  bool binding_unused = false;
  int moves_followed = 0;

  // Fields for the final response.
  Reason last_refusal = Reason::kNone;  // Reason of the last refusal.
  // Reason of the first attempt that was lost and may have run.
  Reason unknown_reason = Reason::kNone;
  Duration retry_after{};
  std::optional<Binding> next_binding;
  std::vector<std::pair<std::string, AdmissionThreshold>> thresholds;

  // Calls of the same visit and key that wait for the response to this one.
  std::vector<CallId> joined;
  CallId leader = 0;  // The call that this one joined.
  // The caller disconnected; the call continues for the calls in `joined`.
  bool has_responded = false;

  bool IsNested() const { return this->parent.has_value(); }
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_H_
