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
  kRunning,     // The answer to a run.
  kIssuing,     // A binding to run under, or to tell the caller.
  kRebinding,   // A binding at another gate, after a bound run was refused.
  kMoving,      // The old gate's record of the new binding.
  kConfirming,  // Word of the new binding, after the record was lost.
  kQuerying,    // What became of a binding that the caller asks for.
  kJoined,      // The answer to the call that it joined.
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
  Instant sent{};
  int loan = 0;  // Retries that went with it.
};

// A call at its origin, until its final answer.
struct Call {
  CallId id = 0;
  // Nothing when only a binding is asked after.
  std::shared_ptr<const ServiceState> service;
  Instant deadline{};
  // What every attempt of the call carries.
  VisitRequest request;
  std::optional<VisitId> parent;
  std::string idempotency_key;
  RetryAllowance allowance{{.retries = 0}};
  CallOutcome outcome{{}};
  CallPhase phase = CallPhase::kRunning;
  std::optional<AttemptInFlight> attempt;
  std::uint32_t attempts = 0;  // Sent so far.

  // Gates that refused the call or lost an attempt of it.
  std::vector<NodeAddress> tried;
  bool retried_for_room = false;

  // Binding in force, and the one that it is being moved to.
  std::optional<Binding> binding;
  std::optional<Binding> new_binding;
  // The binding came from this node and no attempt under it has left yet.
  bool binding_unused = false;
  int moves_followed = 0;

  // For the final answer.
  Reason refusal = Reason::kNone;         // Last refusal.
  Reason unknown_reason = Reason::kNone;  // First loss that may have run.
  Duration retry_after{};
  std::optional<Binding> next_binding;
  std::vector<std::pair<std::string, AdmissionThreshold>> thresholds;

  // Calls of the same visit and key that wait for this one's answer.
  std::vector<CallId> joined;
  CallId leader = 0;      // The call that this one joined.
  bool answered = false;  // Its own caller is gone; it runs on for `joined`.

  bool IsNested() const { return this->parent.has_value(); }
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_H_
