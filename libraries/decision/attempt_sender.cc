#include "libraries/decision/attempt_sender.h"

#include <algorithm>

#include "libraries/base/verify.h"
#include "libraries/decision/call_end.h"

namespace agaterun::decision {

namespace {

// Lends retries to an attempt that runs the request. The origin keeps one for
// its own retry. The others are more useful further down the call graph, and
// return if they are not spent there.
int LendRetries(Call& call, VisitKind kind) {
  constexpr int kKeptRetries = 1;
  if (kind != VisitKind::kRun) {
    return 0;
  }
  return call.allowance.Lend(call.allowance.Remaining() - kKeptRetries);
}

// Returns the retries of `loan` that the gate did not spend.
void ReturnLoan(Call& call, int loan, int unspent) {
  // RetryAllowance only refuses more than the sum of all loans. The clamp keeps
  // a gate from returning retries that were lent to another attempt and lost.
  const auto accepted = std::clamp(unspent, 0, loan);
  const auto result = call.allowance.Return(accepted);
  VERIFY(result.has_value());
}

}  // namespace

void AttemptSender::Send(Instant now,
                         Call& call,
                         VisitKind kind,
                         NodeAddress gate,
                         Actions& actions) {
  VERIFY(!call.attempt);
  const AttemptInFlight attempt{.gate = gate,
                                .kind = kind,
                                .number = ++call.attempts_sent,
                                .sent_at = now,
                                .loan = LendRetries(call, kind)};
  call.attempt = attempt;
  if (kind != VisitKind::kIssueBinding) {
    call.outcome.RecordAttemptSent();
  }
  this->peers.RecordAttemptStarted(now, gate);
  auto request = call.request;
  request.attempt = AttemptId{.origin = this->options.self,
                              .incarnation = this->options.incarnation,
                              .call = call.id,
                              .number = attempt.number};
  request.kind = kind;
  request.remaining = call.deadline - now;
  request.allowance = attempt.loan;
  switch (kind) {
    case VisitKind::kRun:
      request.binding = call.binding;
      break;
    case VisitKind::kIssueBinding:
      break;
    case VisitKind::kQueryBinding:
      request.binding = call.phase == CallPhase::kConfirming ? call.new_binding
                                                             : call.binding;
      break;
    case VisitKind::kMoveBinding:
      request.binding = call.binding;
      request.moved_to = call.new_binding;
      break;
  }
  actions.push_back(SendAttempt{.to = gate, .request = std::move(request)});
}

void AttemptSender::RecordReply(Instant now,
                                Call& call,
                                const AttemptReplied& event) {
  const auto& reply = event.reply;
  const auto attempt = *call.attempt;
  call.attempt.reset();
  ReturnLoan(call, attempt.loan, reply.unspent_allowance);
  this->peers.ReportLoad(now, attempt.gate, reply.load);
  if (HasCompleteResponse(event) && attempt.kind == VisitKind::kRun) {
    this->peers.RecordAttemptCompleted(now, attempt.gate, now - attempt.sent_at,
                                       IsServerError(event));
  } else {
    this->peers.RecordAttemptRefused(now, attempt.gate, reply.reason);
  }
}

void AttemptSender::RecordLoss(Instant now, Call& call, bool sent) {
  const auto attempt = *call.attempt;
  call.attempt.reset();
  if (!sent) {
    ReturnLoan(call, attempt.loan, attempt.loan);
  }
  this->peers.AttemptLost(now, attempt.gate);
}

void AttemptSender::Cancel(Instant now, Call& call, Actions& actions) {
  if (!call.attempt) {
    return;
  }
  const auto attempt = *call.attempt;
  call.attempt.reset();
  this->peers.RecordAttemptAbandoned(now, attempt.gate, now - attempt.sent_at);
  actions.push_back(
      CancelAttempt{.to = attempt.gate,
                    .attempt = {.origin = this->options.self,
                                .incarnation = this->options.incarnation,
                                .call = call.id,
                                .number = attempt.number}});
}

}  // namespace agaterun::decision
