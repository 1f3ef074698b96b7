#include "libraries/decision/call_runner.h"

#include <algorithm>

#include "libraries/base/verify.h"
#include "libraries/decision/retry_rule.h"

namespace agaterun::decision {

CallRunner::CallRunner(Options options, PeerTable& peers, RandomSource& random)
    : disabled(options.disabled),
      peers(peers),
      sender({.self = options.self, .incarnation = options.incarnation}, peers),
      picker({.origin = {.self = options.self,
                         .region = options.region,
                         .failure_domain = options.failure_domain}},
             peers,
             random) {}

void CallRunner::SetState(const TicketState& state) {
  this->picker.SetState(state);
  std::optional<double> ratio;
  for (const auto& [name, item] : state.items) {
    if (item.policy) {
      // The strictest of several policies applies.
      ratio = std::min(ratio.value_or(item.policy->retry_budget),
                       item.policy->retry_budget);
    }
  }
  this->budget.SetRatio(ratio.value_or(PolicyState{}.retry_budget));
}

std::optional<CallEnd> CallRunner::Start(Instant now,
                                         Call& call,
                                         Actions& actions) {
  const bool is_query = call.phase == CallPhase::kQuerying;
  if (!is_query) {
    this->budget.RecordFirstAttempt(now);
  }
  if (!call.binding) {
    return this->SendToNextEndpoint(now, call, false, false, actions);
  }
  // A caller's binding contains an address. Attempts are sent only to nodes
  // that the tickets or the host list name; a host at any other address has
  // left.
  if (!this->IsKnownGate(call, call.binding->gate)) {
    return EndUnknown(call, Reason::kBindingLost);
  }
  this->sender.Send(now, call,
                    is_query ? VisitKind::kQueryBinding : VisitKind::kRun,
                    call.binding->gate, actions);
  return std::nullopt;
}

bool CallRunner::SpendRetry(Instant now, Call& call) {
  if (call.allowance.Remaining() == 0) {
    return false;
  }
  if (this->IsEnabled(Mechanism::kRetryBudget) && !this->budget.TrySpend(now)) {
    return false;
  }
  return call.allowance.Spend();
}

bool CallRunner::IsKnownGate(const Call& call, NodeAddress gate) const {
  if (call.service) {
    for (const auto& endpoint : call.service->endpoints) {
      if (endpoint.node == gate) {
        return true;
      }
    }
  }
  // A host that a ticket no longer names may still finish its requests.
  const auto* peer = this->peers.Find(gate);
  return peer != nullptr && peer->last_contact != Instant{};
}

std::optional<Binding> CallRunner::TakePooledBinding(Instant now,
                                                     NodeAddress gate) {
  const auto binding = this->binding_pool.Take(now, gate);
  const auto* peer = this->peers.Find(gate);
  if (!binding || peer == nullptr) {
    return std::nullopt;
  }
  const bool has_restarted =
      peer->incarnation != 0 && peer->incarnation != binding->incarnation;
  return has_restarted ? std::nullopt : binding;
}

CallRunner::Step CallRunner::SendToNextEndpoint(Instant now,
                                                Call& call,
                                                bool is_retry,
                                                bool needs_free_slot,
                                                Actions& actions) {
  const auto gate = this->picker.Pick(
      now, call.service,
      {.excluded = call.tried_gates, .needs_free_slot = needs_free_slot});
  if (!gate) {
    // Every endpoint is unreachable, leaving or was tried already. Keeping the
    // call until its deadline would gain nothing.
    return EndWithReason(call, call.last_refusal == Reason::kNone
                                   ? Reason::kUnreachable
                                   : call.last_refusal);
  }
  if (is_retry && !this->SpendRetry(now, call)) {
    return EndWithReason(
        call, needs_free_slot ? call.last_refusal : Reason::kExhausted);
  }
  return this->SendTo(now, call, *gate, actions);
}

CallRunner::Step CallRunner::SendTo(Instant now,
                                    Call& call,
                                    NodeAddress gate,
                                    Actions& actions) {
  if (call.request.idempotent) {
    call.phase = CallPhase::kRunning;
    this->sender.Send(now, call, VisitKind::kRun, gate, actions);
    return std::nullopt;
  }
  if (call.binding) {
    call.phase = CallPhase::kRebinding;
    this->sender.Send(now, call, VisitKind::kIssueBinding, gate, actions);
    return std::nullopt;
  }
  if (call.IsNested()) {
    if (const auto binding = this->TakePooledBinding(now, gate); binding) {
      call.binding = binding;
      call.binding_unused = true;
      call.phase = CallPhase::kRunning;
      this->sender.Send(now, call, VisitKind::kRun, gate, actions);
      return std::nullopt;
    }
  }
  call.phase = CallPhase::kIssuing;
  this->sender.Send(now, call, VisitKind::kIssueBinding, gate, actions);
  return std::nullopt;
}

std::optional<CallEnd> CallRunner::ProcessReply(Instant now,
                                                Call& call,
                                                const AttemptReplied& event,
                                                Actions& actions) {
  VERIFY(call.attempt);
  const auto attempt = *call.attempt;
  const auto& reply = event.reply;
  this->sender.RecordReply(now, call, event);
  if (attempt.kind == VisitKind::kRun) {
    if (HasCompleteResponse(event) && !IsServerError(event) && call.service) {
      this->picker.Observe(call.service->name, now - attempt.sent_at);
    }
    if (reply.next_binding && call.IsNested()) {
      this->binding_pool.Put(now, *reply.next_binding);
    }
    call.next_binding = reply.next_binding;
  }
  switch (call.phase) {
    case CallPhase::kRunning:
      return this->ProcessRunReply(now, call, event, attempt.gate, actions);
    case CallPhase::kIssuing:
    case CallPhase::kRebinding:
      return this->ProcessIssueReply(now, call, reply, attempt.gate, actions);
    case CallPhase::kMoving:
    case CallPhase::kConfirming:
    case CallPhase::kQuerying:
      return this->ProcessBindingReply(now, call, event, actions);
    case CallPhase::kJoined:
      break;
  }
  VERIFY(false);
  return std::nullopt;
}

CallRunner::Step CallRunner::ProcessRunReply(Instant now,
                                             Call& call,
                                             const AttemptReplied& event,
                                             NodeAddress gate,
                                             Actions& actions) {
  const auto& reply = event.reply;
  call.binding_unused = false;
  if (HasCompleteResponse(event)) {
    // Without retry rules, server errors are retried too.
    const bool is_retried = IsServerError(event) && call.request.idempotent &&
                            !this->IsEnabled(Mechanism::kRetryRules) &&
                            call.allowance.Remaining() > 0;
    if (is_retried) {
      call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
      call.tried_gates.push_back(gate);
      return this->SendToNextEndpoint(now, call, true, false, actions);
    }
    return EndCompleted(call, event.answer);
  }
  if (reply.outcome != Outcome::kNotRun) {
    call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
    return EndUnknown(call, reply.reason);
  }
  if (!call.binding) {
    call.outcome.RecordAttemptEnded(AttemptResult::kNotRun);
    return this->ProcessRefusal(now, call, reply.reason, reply.retry_after,
                                gate, actions);
  }
  // A gate fences a binding before it refuses a run under it.
  call.outcome.RecordAttemptEnded(AttemptResult::kFenced);
  if (reply.moved_to) {
    return this->FollowMove(now, call, *reply.moved_to, actions);
  }
  return this->ProcessRefusal(now, call, reply.reason, reply.retry_after, gate,
                              actions);
}

CallRunner::Step CallRunner::ProcessRefusal(Instant now,
                                            Call& call,
                                            Reason reason,
                                            Duration retry_after,
                                            NodeAddress gate,
                                            Actions& actions) {
  call.tried_gates.push_back(gate);
  // If the binding can't be moved, the call ends with the reason of the refusal
  // that came first.
  if (call.phase != CallPhase::kRebinding) {
    call.last_refusal = reason;
    call.retry_after = retry_after;
  }
  const auto rule = this->IsEnabled(Mechanism::kRetryRules)
                        ? RuleForRefusal(reason)
                        : RetryRule::kOtherEndpoint;
  switch (rule) {
    case RetryRule::kNever:
      return EndWithReason(call, call.last_refusal);
    case RetryRule::kOnceWithCapacity:
      if (call.retried_for_capacity) {
        return EndWithReason(call, call.last_refusal);
      }
      call.retried_for_capacity = true;
      return this->SendToNextEndpoint(now, call, true, true, actions);
    case RetryRule::kOtherEndpoint:
      return this->SendToNextEndpoint(now, call, true, false, actions);
  }
  return EndWithReason(call, call.last_refusal);
}

std::optional<CallEnd> CallRunner::ProcessLoss(Instant now,
                                               Call& call,
                                               bool sent,
                                               Actions& actions) {
  VERIFY(call.attempt);
  const auto gate = call.attempt->gate;
  this->sender.RecordLoss(now, call, sent);
  const auto reason = sent ? Reason::kConnectionLost : Reason::kUnreachable;
  switch (call.phase) {
    case CallPhase::kRunning:
      return this->ProcessRunLoss(now, call, sent, gate, actions);
    case CallPhase::kIssuing:
    case CallPhase::kRebinding:
      // Issuing a binding runs nothing, so a lost attempt to issue one is
      // handled like an unsent one.
      return this->ProcessRefusal(now, call, Reason::kUnreachable, Duration{},
                                  gate, actions);
    case CallPhase::kMoving:
      if (!sent) {
        call.outcome.RecordAttemptEnded(AttemptResult::kNotRun);
        return EndWithReason(call, call.last_refusal);
      }
      // The gate may have recorded the move, and would then redirect a resend
      // to the new binding. Querying the new binding fences it if nothing has
      // run under it.
      call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
      call.phase = CallPhase::kConfirming;
      this->sender.Send(now, call, VisitKind::kQueryBinding,
                        call.new_binding->gate, actions);
      return std::nullopt;
    case CallPhase::kConfirming:
    case CallPhase::kQuerying:
      call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
      return EndUnknown(call, reason);
    case CallPhase::kJoined:
      break;
  }
  VERIFY(false);
  return std::nullopt;
}

CallRunner::Step CallRunner::ProcessRunLoss(Instant now,
                                            Call& call,
                                            bool sent,
                                            NodeAddress gate,
                                            Actions& actions) {
  const bool is_proven_not_run =
      !sent && (!call.binding || call.binding_unused);
  if (is_proven_not_run) {
    call.outcome.RecordAttemptEnded(AttemptResult::kNotRun);
    call.binding.reset();
    call.binding_unused = false;
    return this->ProcessRefusal(now, call, Reason::kUnreachable, Duration{},
                                gate, actions);
  }
  call.binding_unused = false;
  call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
  const auto reason = sent ? Reason::kConnectionLost : Reason::kUnreachable;
  if (call.unknown_reason == Reason::kNone) {
    call.unknown_reason = reason;
  }
  if (!call.binding) {
    call.tried_gates.push_back(gate);
    return this->SendToNextEndpoint(now, call, true, false, actions);
  }
  // Only the gate that issued the binding stores its state. When that gate
  // can't be reached, immediate further attempts would fail too.
  if (!sent || !this->SpendRetry(now, call)) {
    return EndWithReason(call, reason);
  }
  this->sender.Send(now, call, VisitKind::kRun, gate, actions);
  return std::nullopt;
}

void CallRunner::AbortAttempt(Instant now, Call& call, Actions& actions) {
  this->sender.Cancel(now, call, actions);
}

}  // namespace agaterun::decision
