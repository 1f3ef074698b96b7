#include "libraries/decision/call_runner.h"

// The part of the call runner that handles bindings: issuing, moving and
// querying them, and following moves.
namespace agaterun::decision {

namespace {

// Maximum number of moves of one binding that an origin follows. More occur
// only in a loop.
constexpr int kMaxMovesFollowed = 3;

}  // namespace

CallRunner::Step CallRunner::ProcessIssueReply(Instant now,
                                               Call& call,
                                               const VisitReply& reply,
                                               NodeAddress gate,
                                               Actions& actions) {
  const bool is_issued = reply.reason == Reason::kBindingRequired &&
                         reply.next_binding && reply.next_binding->gate == gate;
  if (!is_issued) {
    return this->ProcessRefusal(now, call, reply.reason, reply.retry_after,
                                gate, actions);
  }
  if (call.phase == CallPhase::kRebinding) {
    call.new_binding = reply.next_binding;
    call.phase = CallPhase::kMoving;
    this->sender.Send(now, call, VisitKind::kMoveBinding, call.binding->gate,
                      actions);
    return std::nullopt;
  }
  if (!call.IsNested()) {
    call.next_binding = reply.next_binding;
    return CallEnd{.reason = Reason::kBindingRequired};
  }
  call.binding = reply.next_binding;
  call.binding_unused = true;
  call.phase = CallPhase::kRunning;
  this->sender.Send(now, call, VisitKind::kRun, gate, actions);
  return std::nullopt;
}

CallRunner::Step CallRunner::ProcessBindingReply(Instant now,
                                                 Call& call,
                                                 const AttemptReplied& event,
                                                 Actions& actions) {
  const auto& reply = event.reply;
  if (HasCompleteResponse(event)) {
    return EndCompleted(call, event.answer);
  }
  if (reply.outcome != Outcome::kNotRun) {
    // This holds for a move too: an earlier incarnation of the gate may have
    // recorded a different move, and the request may have run at its target.
    call.outcome.RecordAttemptEnded(AttemptResult::kUnknown);
    return EndUnknown(call, reply.reason);
  }
  call.outcome.RecordAttemptEnded(AttemptResult::kFenced);
  if (reply.moved_to) {
    return this->FollowMove(now, call, *reply.moved_to, actions);
  }
  return EndWithReason(call, call.phase == CallPhase::kQuerying
                                 ? reply.reason
                                 : call.last_refusal);
}

CallRunner::Step CallRunner::FollowMove(Instant now,
                                        Call& call,
                                        const Binding& moved_to,
                                        Actions& actions) {
  // The node that recorded the move may have run the request there since.
  call.outcome.RecordPossibleRun();
  const bool may_follow = call.moves_followed < kMaxMovesFollowed &&
                          this->IsKnownGate(call, moved_to.gate);
  if (!may_follow) {
    return EndUnknown(call, Reason::kBindingLost);
  }
  ++call.moves_followed;
  call.binding = moved_to;
  call.new_binding.reset();
  call.binding_unused = false;
  const bool is_query = call.phase == CallPhase::kQuerying;
  if (!is_query) {
    call.phase = CallPhase::kRunning;
  }
  this->sender.Send(now, call,
                    is_query ? VisitKind::kQueryBinding : VisitKind::kRun,
                    moved_to.gate, actions);
  return std::nullopt;
}

}  // namespace agaterun::decision
