#include "libraries/decision/origin.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Retries per hop when retry allowances are disabled: three attempts in all, a
// common default.
constexpr int kRetriesPerHop = 2;

// Maximum time for a query of a binding, for which no route sets a deadline.
constexpr Duration kQueryTimeout = 1s;

// The key by which a threshold divides an importance class. It is the same for
// all calls that one original request causes, so that either all of them are
// admitted or all are refused.
std::uint16_t AdmissionKeyOf(std::uint64_t request_id) {
  constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15;
  constexpr int kShift = 32;
  return static_cast<std::uint16_t>(((request_id * kMultiplier) >> kShift) %
                                    kAdmissionKeys);
}

}  // namespace

Origin::Origin(Options options,
               ParentVisits& parents,
               PeerTable& peers,
               RandomSource& random)
    : options(std::move(options)),
      parents(parents),
      random(random),
      state(std::make_shared<TicketState>()),
      runner({.self = this->options.self,
              .incarnation = this->options.incarnation,
              .region = this->options.region,
              .failure_domain = this->options.failure_domain,
              .disabled = this->options.disabled},
             peers,
             random) {}

void Origin::SetState(std::shared_ptr<const TicketState> state) {
  this->state = std::move(state);
  this->runner.SetState(*this->state);
}

void Origin::Refuse(const CallArrived& event,
                    Reason reason,
                    Actions& actions,
                    Duration retry_after) {
  // A caller that supplies a binding may have sent the request before, through
  // this node or another. Only the binding's gate can rule out that it ran.
  actions.push_back(RespondToCaller{
      .call = event.call,
      .outcome = event.binding ? Outcome::kUnknown : Outcome::kNotRun,
      .reason = reason,
      .retry_after = retry_after});
}

void Origin::OnCallArrived(Instant now,
                           const CallArrived& event,
                           Actions& actions) {
  if (this->calls.Size() >= this->options.max_calls) {
    Refuse(event, Reason::kLimitReached, actions);
    return;
  }
  if (event.kind == VisitKind::kQueryBinding) {
    this->StartQuery(now, event, actions);
    return;
  }
  auto service = this->state->FindService(event.service);
  if (!service || service->endpoints.empty()) {
    Refuse(event, Reason::kNoSuchService, actions);
    return;
  }
  const auto* route = FindRoute(*service, event.method, event.path);
  if (route == nullptr) {
    Refuse(event, Reason::kNoSuchRoute, actions);
    return;
  }
  auto call = this->MakeCall(now, event, std::move(service), *route);
  if (!call) {
    Refuse(event, call.error(), actions);
    return;
  }
  if (this->JoinByKey(now, *call, actions) || this->Shed(now, *call, actions)) {
    return;
  }
  this->Start(now, std::move(*call), route->retries, actions);
}

void Origin::StartQuery(Instant now,
                        const CallArrived& event,
                        Actions& actions) {
  if (!event.binding) {
    Refuse(event, Reason::kMalformed, actions);
    return;
  }
  Call call;
  call.id = event.call;
  call.service = this->state->FindService(event.service);
  call.deadline =
      now + std::min(kQueryTimeout, event.timeout.value_or(kQueryTimeout));
  call.request = {.service = event.service,
                  .importance = Importance::kCritical,
                  .fingerprint = event.fingerprint,
                  .share = event.share};
  call.outcome = CallOutcome({.may_have_run = true});
  call.phase = CallPhase::kQuerying;
  call.binding = event.binding;
  this->Start(now, std::move(call), 0, actions);
}

tl::expected<Call, Reason> Origin::MakeCall(
    Instant now,
    const CallArrived& event,
    std::shared_ptr<const ServiceState> service,
    const RouteState& route) {
  Call call;
  call.id = event.call;
  call.deadline = now + route.deadline;
  if (event.timeout) {
    call.deadline = std::min(call.deadline, now + *event.timeout);
  }
  call.request = {.service = service->name,
                  .route = route.name,
                  .importance = route.importance,
                  .idempotent = route.idempotent,
                  .fingerprint = event.fingerprint,
                  .share = event.share};
  if (event.parent) {
    const auto parent = this->parents.FindParent(*event.parent);
    if (!parent) {
      return tl::unexpected(Reason::kCancelled);
    }
    call.parent = event.parent;
    if (!this->options.disabled.Has(Mechanism::kCancellation)) {
      call.deadline = std::min(call.deadline, parent->deadline);
    }
    call.request.importance =
        std::min(call.request.importance, parent->importance);
    call.request.admission_key = parent->admission_key;
    call.request.request_id = parent->request_id;
    call.request.share = parent->share;
  } else {
    call.request.request_id = this->random.Next();
    call.request.admission_key = AdmissionKeyOf(call.request.request_id);
  }
  if (call.deadline <= now) {
    return tl::unexpected(Reason::kDeadlineExceeded);
  }
  if (!route.idempotent) {
    call.binding = event.binding;
    call.idempotency_key = event.parent ? event.idempotency_key : "";
  }
  // An earlier copy of the request may have run under a caller's binding.
  call.outcome = CallOutcome({.may_have_run = call.binding.has_value()});
  call.service = std::move(service);
  return call;
}

bool Origin::Shed(Instant now, const Call& call, Actions& actions) {
  // A refusal by the origin doesn't fence the binding, so a call with a binding
  // is always sent to its gate.
  if (call.binding || this->options.disabled.Has(Mechanism::kEarlyShedding)) {
    return false;
  }
  const auto& request = call.request;
  const auto decision = this->thresholds.Decide(
      now, request.service, request.route, request.importance,
      request.admission_key, this->random);
  if (decision.admitted) {
    return false;
  }
  if (call.parent) {
    // The reply for the parent visit carries these thresholds to the parent's
    // origin, which then refuses the next such request itself.
    this->parents.NestedCallStarted(now, *call.parent);
    this->parents.NestedCallEnded(
        now, *call.parent, 0,
        this->thresholds.InForce(now, request.service, request.route));
    if (!call.idempotency_key.empty()) {
      this->keys.Erase(*call.parent, request.service, call.idempotency_key);
    }
  }
  actions.push_back(RespondToCaller{.call = call.id,
                                    .outcome = Outcome::kNotRun,
                                    .reason = Reason::kOverloaded,
                                    .retry_after = decision.retry_after});
  return true;
}

void Origin::Start(Instant now, Call call, int retries, Actions& actions) {
  if (call.parent) {
    this->parents.NestedCallStarted(now, *call.parent);
  }
  if (this->options.disabled.Has(Mechanism::kRetryAllowance)) {
    retries = kRetriesPerHop;
  } else if (call.parent) {
    retries = this->parents.LendAllowance(*call.parent, retries);
  }
  call.allowance = RetryAllowance({.retries = retries});
  if (!call.idempotency_key.empty()) {
    this->keys.Find(*call.parent, call.request.service, call.idempotency_key)
        ->running = call.id;
  }
  auto& stored = this->calls.Add(std::move(call));
  if (const auto end = this->runner.Start(now, stored, actions); end) {
    this->Finish(now, stored, *end, actions);
  }
}

Call* Origin::FindCurrent(const AttemptId& attempt) {
  auto* call = this->calls.Find(attempt.call);
  // Late and duplicate replies to attempts that have ended are ignored.
  const bool is_current =
      call != nullptr && attempt.origin == this->options.self &&
      attempt.incarnation == this->options.incarnation && call->attempt &&
      call->attempt->number == attempt.number;
  return is_current ? call : nullptr;
}

void Origin::OnAttemptReplied(Instant now,
                              const AttemptReplied& event,
                              Actions& actions) {
  const auto& reply = event.reply;
  auto* call = this->FindCurrent(reply.attempt);
  if (call == nullptr) {
    return;
  }
  if (!reply.thresholds.empty()) {
    call->thresholds = reply.thresholds;
  }
  if (call->attempt->kind == VisitKind::kRun ||
      call->attempt->kind == VisitKind::kIssueBinding) {
    this->thresholds.RecordReport(now, call->request.service,
                                  call->request.route, reply.thresholds,
                                  reply.retry_after);
  }
  if (const auto end = this->runner.ProcessReply(now, *call, event, actions);
      end) {
    this->Finish(now, *call, *end, actions);
  }
}

void Origin::OnAttemptLost(Instant now,
                           const AttemptLost& event,
                           Actions& actions) {
  auto* call = this->FindCurrent(event.attempt);
  if (call == nullptr) {
    return;
  }
  if (const auto end =
          this->runner.ProcessLoss(now, *call, event.sent, actions);
      end) {
    this->Finish(now, *call, *end, actions);
  }
}

void Origin::OnCallerDisconnected(Instant now,
                                  const CallerDisconnected& event,
                                  Actions& actions) {
  auto* call = this->calls.Find(event.call);
  if (call == nullptr || call->has_responded) {
    return;
  }
  if (call->joined.empty()) {
    this->AbortCall(now, *call, Reason::kCancelled, actions);
    return;
  }
  // Joined calls still wait for the response, so the call continues without its
  // own caller.
  call->has_responded = true;
  actions.push_back(
      RespondToCaller{.call = call->id, .reason = Reason::kCancelled});
}

void Origin::OnVisitEnded(Instant now, VisitId visit, Actions& actions) {
  for (const auto id : this->calls.NestedCallsOf(visit)) {
    // The call may already have ended together with the call that it joined.
    if (auto* call = this->calls.Find(id); call != nullptr) {
      this->AbortCall(now, *call, Reason::kCancelled, actions);
    }
  }
  this->keys.EraseVisit(visit);
}

void Origin::OnTick(Instant now, Actions& actions) {
  while (auto* call = this->calls.FirstExpired(now)) {
    this->AbortCall(now, *call, Reason::kDeadlineExceeded, actions);
  }
}

std::optional<Instant> Origin::NextWake() const {
  return this->calls.NextDeadline();
}

void Origin::AbortCall(Instant now,
                       Call& call,
                       Reason reason,
                       Actions& actions) {
  if (call.phase == CallPhase::kJoined) {
    std::erase(this->calls.Find(call.leader)->joined, call.id);
    // The call that it joined may run the request, under the same key.
    call.outcome.RecordPossibleRun();
  } else {
    this->runner.AbortAttempt(now, call, actions);
  }
  this->Finish(now, call, CallEnd{.reason = reason}, actions);
}

void Origin::Finish(Instant now,
                    Call& call,
                    const CallEnd& end,
                    Actions& actions) {
  RespondToCaller response{.call = call.id,
                           .outcome = call.outcome.Current(),
                           .reason = end.reason,
                           .answer = end.answer,
                           .retry_after = call.retry_after};
  if (!call.IsNested()) {
    response.next_binding = call.next_binding;
  }
  if (call.phase != CallPhase::kJoined) {
    this->RecordKeyResult(call, response);
  }
  this->EndJoined(now, call, response, actions);
  if (call.parent) {
    this->parents.NestedCallEnded(now, *call.parent, call.allowance.Remaining(),
                                  call.thresholds);
  }
  if (!call.has_responded) {
    actions.push_back(std::move(response));
  }
  this->calls.Erase(call.id);
}

}  // namespace agaterun::decision
