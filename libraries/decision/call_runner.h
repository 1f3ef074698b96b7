#ifndef LIBRARIES_DECISION_CALL_RUNNER_H_
#define LIBRARIES_DECISION_CALL_RUNNER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/base/random.h"
#include "libraries/decision/attempt_sender.h"
#include "libraries/decision/binding_pool.h"
#include "libraries/decision/call.h"
#include "libraries/decision/call_end.h"
#include "libraries/decision/endpoint_picker.h"
#include "libraries/decision/events.h"
#include "libraries/decision/mechanism.h"
#include "libraries/decision/peer_table.h"
#include "libraries/decision/retry_budget.h"

namespace agaterun::decision {

// Runs calls from their first attempt to their end. Chooses the gate and the
// binding of each attempt, and decides whether to send another one.
//
// Each step returns the call's end, or nothing while an attempt is in flight.
class CallRunner {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    MechanismSet disabled = {};
  };

  // `peers` and `random` must outlive the runner.
  CallRunner(Options options, PeerTable& peers, RandomSource& random);

  void SetState(const TicketState& state);

  // Sends the first attempt.
  std::optional<CallEnd> Start(Instant now, Call& call, Actions& actions);

  // Handles the final reply to the attempt in flight.
  std::optional<CallEnd> ProcessReply(Instant now,
                                      Call& call,
                                      const AttemptReplied& event,
                                      Actions& actions);

  // Handles the loss of the attempt in flight. `sent` is false if no byte of it
  // left this node.
  std::optional<CallEnd> ProcessLoss(Instant now,
                                     Call& call,
                                     bool sent,
                                     Actions& actions);

  // Cancels the attempt in flight.
  void AbortAttempt(Instant now, Call& call, Actions& actions);

 private:
  using Step = std::optional<CallEnd>;

  // Sends the next attempt, or request for a binding, to an endpoint that the
  // call has not tried. A retry spends one of the call's retry allowance and
  // one of the node's retry budget.
  Step SendToNextEndpoint(Instant now,
                          Call& call,
                          bool is_retry,
                          bool needs_free_slot,
                          Actions& actions);
  Step SendTo(Instant now, Call& call, NodeAddress gate, Actions& actions);
  Step FollowMove(Instant now,
                  Call& call,
                  const Binding& moved_to,
                  Actions& actions);

  Step ProcessRunReply(Instant now,
                       Call& call,
                       const AttemptReplied& event,
                       NodeAddress gate,
                       Actions& actions);
  Step ProcessIssueReply(Instant now,
                         Call& call,
                         const VisitReply& reply,
                         NodeAddress gate,
                         Actions& actions);
  // Handles a gate's reply to a query or a move of a binding.
  Step ProcessBindingReply(Instant now,
                           Call& call,
                           const AttemptReplied& event,
                           Actions& actions);
  Step ProcessRefusal(Instant now,
                      Call& call,
                      Reason reason,
                      Duration retry_after,
                      NodeAddress gate,
                      Actions& actions);
  Step ProcessRunLoss(Instant now,
                      Call& call,
                      bool sent,
                      NodeAddress gate,
                      Actions& actions);

  bool SpendRetry(Instant now, Call& call);
  bool IsKnownGate(const Call& call, NodeAddress gate) const;
  std::optional<Binding> TakePooledBinding(Instant now, NodeAddress gate);

  bool IsEnabled(Mechanism mechanism) const {
    return !this->disabled.Has(mechanism);
  }

  MechanismSet disabled;
  PeerTable& peers;
  AttemptSender sender;
  EndpointPicker picker;
  RetryBudget budget{{}};
  BindingPool binding_pool{{}};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_RUNNER_H_
