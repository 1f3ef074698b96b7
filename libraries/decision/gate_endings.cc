#include <algorithm>

#include "libraries/decision/gate.h"

// How visits of a gate end, and what the gate replies to their origins.
namespace agaterun::decision {

namespace {

// How long a request without waiters may keep running past its deadline.
constexpr Duration kMaxAbandonedRunTime = 10s;

// True if the reply to a request that ended for `reason` must carry the time
// after which to retry.
bool NeedsRetryAfter(Reason reason) {
  return reason == Reason::kOverloaded || reason == Reason::kSuspect ||
         reason == Reason::kBackendDown;
}

}  // namespace

void Gate::Refuse(Instant now,
                  const VisitArrived& event,
                  Reason reason,
                  Actions& actions) {
  if (event.request.binding) {
    this->bindings.MarkRefused(*event.request.binding, event.request.attempt);
  }
  this->SendReply(now, MakeWaiter(event), event.request.allowance,
                  {.outcome = Outcome::kNotRun, .reason = reason}, nullptr,
                  actions);
}

void Gate::RefuseLessImportant(Instant now,
                               Importance importance,
                               Actions& actions) {
  // Queued requests that are less important than a refused one must not run
  // ahead of it.
  while (const auto id = this->admission.FindLessImportant(importance)) {
    this->EndNotRun(now, *id, Reason::kOverloaded, actions);
  }
}

void Gate::EndNotRun(Instant now, VisitId id, Reason reason, Actions& actions) {
  const auto& visit = *this->visits.Find(id);
  this->admission.Remove(id);
  if (const auto& binding = visit.request.binding; binding) {
    // Only a call that was the sole recipient of the refusal may move the
    // binding.
    if (visit.waiters.size() == 1 && reason != Reason::kCancelled) {
      this->bindings.MarkRefused(*binding, visit.waiters.front().attempt);
    } else {
      this->bindings.Fence(*binding);
    }
  }
  this->EndVisit(now, id, {.outcome = Outcome::kNotRun, .reason = reason},
                 actions);
}

void Gate::EndUnknown(Instant now,
                      VisitId id,
                      Reason reason,
                      Actions& actions) {
  const auto& visit = *this->visits.Find(id);
  this->admission.OnAborted(now, visit.request.route, visit.time.Total(now),
                            visit.time.Own(now));
  if (const auto& binding = visit.request.binding; binding) {
    this->bindings.MarkLost(*binding);
  }
  this->EndVisit(now, id, {.outcome = Outcome::kUnknown, .reason = reason},
                 actions);
  this->StartQueued(now, actions);
}

void Gate::Abandon(Instant now, VisitId id, Reason reason, Actions& actions) {
  auto& visit = *this->visits.Find(id);
  visit.phase = VisitPhase::kAbandoned;
  const auto waiters = visit.waiters;
  for (const auto& waiter : waiters) {
    this->SendReply(now, waiter, 0,
                    {.outcome = Outcome::kUnknown, .reason = reason}, &visit,
                    actions);
    this->visits.RemoveWaiter(id, waiter.attempt);
  }
  this->visits.SetDue(id, std::max(now, visit.deadline) + kMaxAbandonedRunTime);
}

void Gate::EndVisit(Instant now,
                    VisitId id,
                    const VisitResult& result,
                    Actions& actions) {
  const Visit visit = this->visits.Remove(id);
  this->suspects_in_flight -= visit.suspect ? 1 : 0;
  // Retries that are lent to nested calls when the visit ends are lost.
  // Attempts that joined the visit have used none of their allowance and get
  // all of it back.
  for (std::size_t index = 0; index < visit.waiters.size(); ++index) {
    const auto& waiter = visit.waiters[index];
    const bool first = waiter.attempt == visit.request.attempt;
    this->SendReply(now, waiter,
                    first ? visit.allowance.Remaining() : waiter.allowance,
                    result, &visit, actions);
  }
  if (this->observer != nullptr && visit.phase != VisitPhase::kQueued) {
    this->observer->OnVisitEnded(now, id, actions);
  }
}

void Gate::SendReply(Instant now,
                     const VisitWaiter& waiter,
                     int unspent,
                     const VisitResult& result,
                     const Visit* visit,
                     Actions& actions) {
  VisitReply reply{.attempt = waiter.attempt,
                   .outcome = result.outcome,
                   .reason = result.reason,
                   .unspent_allowance = unspent,
                   .load = this->Load(),
                   .moved_to = result.moved_to};
  if (NeedsRetryAfter(result.reason)) {
    reply.retry_after = this->admission.ComputeRetryAfter(now);
  }
  if (visit != nullptr) {
    reply.thresholds = visit->thresholds;
  }
  // The default threshold is reported too: it is how origins learn that the
  // threshold has risen.
  reply.thresholds.emplace_back(this->options.service,
                                this->admission.Threshold(now));
  reply.next_binding = this->NextBinding(now, result);
  actions.push_back(ReplyToOrigin{
      .to = waiter.from, .reply = std::move(reply), .answer = result.answer});
}

std::optional<Binding> Gate::NextBinding(Instant now,
                                         const VisitResult& result) {
  if (result.reason == Reason::kBindingRequired) {
    return this->bindings.Issue(now);
  }
  // A binding of a draining gate would only lead to kUnknown later.
  if (result.outcome == Outcome::kUnknown || this->leaving ||
      !this->issues_bindings) {
    return std::nullopt;
  }
  return this->bindings.Issue(now);
}

void Gate::HandleDue(Instant now, VisitId id, Actions& actions) {
  const auto& visit = *this->visits.Find(id);
  switch (visit.phase) {
    case VisitPhase::kQueued:
      this->admission.OnOverload(now, visit.request.importance,
                                 visit.request.admission_key);
      if (const auto candidate = MakeCandidate(visit.request, visit.deadline);
          this->admission.MayExtendWait(now, candidate)) {
        this->visits.SetDue(id, this->admission.QueueDeadline(now, candidate));
        return;
      }
      this->RefuseLessImportant(now, visit.request.importance, actions);
      this->EndNotRun(now, id,
                      visit.deadline <= now ? Reason::kDeadlineExceeded
                                            : Reason::kOverloaded,
                      actions);
      return;
    case VisitPhase::kRunning:
      if (!this->MayAbort(visit.request)) {
        this->Abandon(now, id, Reason::kDeadlineExceeded, actions);
        return;
      }
      break;
    case VisitPhase::kAbandoned:
      break;
  }
  actions.push_back(AbortBackend{.visit = id});
  this->EndUnknown(now, id, Reason::kDeadlineExceeded, actions);
}

}  // namespace agaterun::decision
