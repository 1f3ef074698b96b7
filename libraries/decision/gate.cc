#include "libraries/decision/gate.h"

#include <algorithm>

namespace agaterun::decision {

Gate::Gate(Options options, RandomSource& random)
    : options(std::move(options)),
      state(std::make_shared<TicketState>()),
      visits(random),
      admission({.disabled = this->options.disabled}, random),
      bindings({.self = this->options.self,
                .incarnation = this->options.incarnation},
               random) {}

void Gate::SetState(Instant /*now*/, std::shared_ptr<const TicketState> state) {
  this->state = std::move(state);
  this->service = this->state->FindService(this->options.service);
  if (this->service == nullptr) {
    return;
  }
  this->issues_bindings = std::ranges::any_of(
      this->service->routes,
      [](const RouteState& route) { return !route.idempotent; });
  std::map<std::string, double, std::less<>> weights;
  for (const auto& [name, item] : this->state->items) {
    if (item.policy != nullptr) {
      weights.insert(item.policy->share_weights.begin(),
                     item.policy->share_weights.end());
    }
  }
  this->admission.SetState(*this->service, std::move(weights));
}

void Gate::OnVisitArrived(Instant now,
                          const VisitArrived& event,
                          Actions& actions) {
  switch (event.request.kind) {
    case VisitKind::kRun:
      this->RunRequest(now, event, actions);
      break;
    case VisitKind::kIssueBinding:
      this->IssueBinding(now, event, actions);
      break;
    case VisitKind::kQueryBinding:
      this->QueryBinding(now, event, actions);
      break;
    case VisitKind::kMoveBinding:
      this->MoveBinding(now, event, actions);
      break;
  }
  this->ReportShedding(now, actions);
}

Reason Gate::FindClosedReason(const VisitRequest& request) const {
  if (this->service == nullptr || request.service != this->options.service) {
    return Reason::kNoSuchService;
  }
  if (this->leaving) {
    return Reason::kLeaving;
  }
  return this->backend_up ? Reason::kNone : Reason::kBackendDown;
}

bool Gate::IsIdempotent(const VisitRequest& request) const {
  if (!request.idempotent || this->service == nullptr) {
    return request.idempotent;
  }
  // While a ticket is being distributed, origin and gate may have different
  // versions of it. The stricter view applies. A route that this gate does not
  // have comes from a newer ticket.
  const auto route = std::ranges::find(this->service->routes, request.route,
                                       &RouteState::name);
  return route == this->service->routes.end() || route->idempotent;
}

void Gate::RunRequest(Instant now,
                      const VisitArrived& event,
                      Actions& actions) {
  const auto& request = event.request;
  if (this->visits.FindAttempt(request.attempt)) {
    return;  // Duplicate of a frame whose single reply is still pending.
  }
  if (request.binding) {
    if (this->CheckBinding(now, event, actions)) {
      this->Admit(now, event, actions);
    }
    return;
  }
  if (!this->IsIdempotent(request)) {
    this->SendReply(
        now, MakeWaiter(event), request.allowance,
        {.outcome = Outcome::kNotRun, .reason = Reason::kBindingRequired},
        nullptr, actions);
    return;
  }
  this->Admit(now, event, actions);
}

void Gate::Admit(Instant now, const VisitArrived& event, Actions& actions) {
  const auto& request = event.request;
  const auto candidate = MakeCandidate(request, now + request.remaining);
  if (const auto reason = this->FindClosedReason(request);
      reason != Reason::kNone) {
    this->Refuse(now, event, reason, actions);
    return;
  }
  if (this->suspects.IsQuarantined(now, request.fingerprint)) {
    this->Refuse(now, event, Reason::kQuarantined, actions);
    return;
  }
  const bool suspect = this->suspects.IsSuspect(now, request.fingerprint);
  if (suspect && this->suspects_in_flight > 0) {
    // At most one suspect runs at a time, so that a crash identifies which of
    // them caused it.
    this->Refuse(now, event, Reason::kSuspect, actions);
    return;
  }
  const auto decision = this->admission.Decide(now, candidate);
  if (decision.verdict == Admission::Verdict::kRefuse) {
    if (decision.reason == Reason::kOverloaded) {
      this->RefuseLessImportant(now, request.importance, actions);
    }
    this->Refuse(now, event, decision.reason, actions);
    return;
  }
  if (decision.displaced) {
    this->EndNotRun(now, *decision.displaced, Reason::kOverloaded, actions);
  }
  Visit visit{.request = request,
              .waiters = {MakeWaiter(event)},
              .arrived = now,
              .deadline = candidate.deadline,
              .due = this->admission.QueueDeadline(now, candidate),
              .allowance = RetryAllowance({.retries = request.allowance}),
              .suspect = suspect};
  this->suspects_in_flight += suspect ? 1 : 0;
  const VisitId id = this->visits.Add(std::move(visit));
  if (request.binding) {
    this->bindings.Activate(*request.binding, request.fingerprint, id);
  }
  if (decision.verdict == Admission::Verdict::kStart) {
    this->StartVisit(now, id, actions);
  } else {
    this->admission.Push(now, id, candidate);
  }
}

void Gate::StartVisit(Instant now, VisitId id, Actions& actions) {
  auto& visit = *this->visits.Find(id);
  visit.phase = VisitPhase::kRunning;
  visit.time.Start(now);
  this->visits.SetDue(id, visit.deadline);
  this->admission.OnStart(now);
  // The node keeps the HTTP request under the attempt that still waits for it.
  // The first attempt may have been cancelled after others joined the visit.
  actions.push_back(StartBackend{.visit = id,
                                 .attempt = visit.waiters.front().attempt,
                                 .remaining = visit.deadline - now});
}

void Gate::StartQueued(Instant now, Actions& actions) {
  while (const auto id = this->admission.Pop(now)) {
    const auto& visit = *this->visits.Find(*id);
    if (this->admission.CanFinish(now, visit.request.route, visit.deadline)) {
      this->StartVisit(now, *id, actions);
    } else {
      this->EndNotRun(now, *id, Reason::kDeadlineExceeded, actions);
    }
  }
}

void Gate::OnVisitCancelled(Instant now,
                            const VisitCancelled& event,
                            Actions& actions) {
  const auto id = this->visits.FindAttempt(event.attempt);
  if (!id) {
    return;
  }
  const auto& visit = *this->visits.Find(*id);
  if (visit.waiters.size() > 1) {
    const auto waiter =
        *std::ranges::find(visit.waiters, event.attempt, &VisitWaiter::attempt);
    this->visits.RemoveWaiter(*id, event.attempt);
    this->SendReply(now, waiter, 0, {.reason = Reason::kCancelled}, nullptr,
                    actions);
    return;
  }
  if (visit.phase == VisitPhase::kQueued) {
    this->EndNotRun(now, *id, Reason::kCancelled, actions);
    return;
  }
  if (!this->MayAbort(visit.request)) {
    // The caller may resend under the same binding, so the visit runs on and
    // its response is kept.
    this->Abandon(now, *id, Reason::kCancelled, actions);
    return;
  }
  actions.push_back(AbortBackend{.visit = *id});
  this->EndUnknown(now, *id, Reason::kCancelled, actions);
}

void Gate::OnBackendResponded(Instant now,
                              const BackendResponded& event,
                              Actions& actions) {
  const auto* visit = this->visits.Find(event.visit);
  if (visit == nullptr || visit->phase == VisitPhase::kQueued) {
    return;
  }
  const auto& binding = visit->request.binding;
  if (this->service != nullptr && this->service->shed_status != 0 &&
      event.answer->status == this->service->shed_status) {
    this->admission.OnNotRun(now, /*shed=*/true);
    this->EndNotRun(now, event.visit, Reason::kOverloaded, actions);
  } else {
    this->admission.OnFinished(now, visit->request.route,
                               visit->time.Total(now), visit->time.Own(now));
    this->suspects.OnCompleted(visit->request.fingerprint);
    if (binding) {
      this->bindings.Finish(*binding, event.answer);
    }
    this->EndVisit(now, event.visit,
                   {.outcome = Outcome::kCompleted, .answer = event.answer},
                   actions);
  }
  this->StartQueued(now, actions);
  this->ReportShedding(now, actions);
}

void Gate::OnBackendFailed(Instant now,
                           const BackendFailed& event,
                           Actions& actions) {
  const auto* visit = this->visits.Find(event.visit);
  if (visit == nullptr || visit->phase == VisitPhase::kQueued) {
    return;
  }
  switch (event.failure) {
    case BackendFailure::kNotSent:
      this->admission.OnNotRun(now, /*shed=*/false);
      this->EndNotRun(now, event.visit, Reason::kBackendDown, actions);
      this->StartQueued(now, actions);
      return;
    case BackendFailure::kBroken: {
      const auto findings = this->suspects.OnBroken(
          now, visit->request.fingerprint, visit->suspect);
      this->ReportFindings(findings, actions);
      this->EndUnknown(now, event.visit, Reason::kBackendFailed, actions);
      return;
    }
    case BackendFailure::kAborted:
      this->EndUnknown(now, event.visit, Reason::kBackendFailed, actions);
      return;
  }
}

void Gate::OnBackendReachable(Instant now,
                              const BackendReachable& event,
                              Actions& actions) {
  this->backend_up = event.reachable;
  if (event.reachable) {
    this->StartQueued(now, actions);
    return;
  }
  this->ReportFindings(this->suspects.OnBackendDown(now), actions);
  // Queued requests can run at another endpoint at once.
  for (const auto id : this->visits.InPhase(VisitPhase::kQueued)) {
    this->EndNotRun(now, id, Reason::kBackendDown, actions);
  }
}

void Gate::OnQuarantined(
    Instant now,
    const std::vector<std::pair<std::uint64_t, Duration>>& quarantined) {
  for (const auto& [fingerprint, time] : quarantined) {
    this->suspects.Quarantine(now, fingerprint, time);
  }
}

void Gate::StartLeaving(Instant /*now*/, Actions& /*actions*/) {
  // Queued requests have been accepted and are finished like the running ones.
  // The queue time bounds how long that takes.
  this->leaving = true;
}

void Gate::OnTick(Instant now, Actions& actions) {
  for (const auto id : this->visits.DueAt(now)) {
    // Ending a visit may start others, whose due instants are then in the
    // future.
    if (const auto* visit = this->visits.Find(id);
        visit != nullptr && visit->due <= now) {
      this->HandleDue(now, id, actions);
    }
  }
  this->ReportShedding(now, actions);
}

}  // namespace agaterun::decision
