#include <algorithm>

#include "libraries/decision/gate.h"

// How visits of a gate end, and what their origins are told.
namespace agaterun::decision {

namespace {

// How long a request that nobody waits for may run on past its deadline.
constexpr Duration kAbandonedRunTime = 10s;

// True when a caller who got this word should be told when to come back.
bool AsksToComeBack(Reason reason) {
  return reason == Reason::kOverloaded || reason == Reason::kSuspect ||
         reason == Reason::kBackendDown;
}

}  // namespace

void Gate::Refuse(Instant now,
                  const VisitArrived& event,
                  Reason reason,
                  Actions& actions) {
  if (event.request.binding) {
    this->bindings.Refuse(*event.request.binding, event.request.attempt);
  }
  this->Reply(now, WaiterOf(event), event.request.allowance,
              {.outcome = Outcome::kNotRun, .reason = reason}, nullptr,
              actions);
}

void Gate::RefuseLessImportant(Instant now,
                               Importance importance,
                               Actions& actions) {
  // What is less important than a refused request does not go before it.
  while (const auto id = this->admission.LessImportant(importance)) {
    this->EndNotRun(now, *id, Reason::kOverloaded, actions);
  }
}

void Gate::EndNotRun(Instant now, VisitId id, Reason reason, Actions& actions) {
  const auto& visit = *this->visits.Find(id);
  this->admission.Remove(id);
  if (const auto& binding = visit.request.binding; binding) {
    // Only a call that alone was told of the refusal may move the binding.
    if (visit.waiters.size() == 1 && reason != Reason::kCancelled) {
      this->bindings.Refuse(*binding, visit.waiters.front().attempt);
    } else {
      this->bindings.Fence(*binding);
    }
  }
  this->Conclude(now, id, {.outcome = Outcome::kNotRun, .reason = reason},
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
    this->bindings.Lose(*binding);
  }
  this->Conclude(now, id, {.outcome = Outcome::kUnknown, .reason = reason},
                 actions);
  this->Pump(now, actions);
}

void Gate::Abandon(Instant now, VisitId id, Reason reason, Actions& actions) {
  auto& visit = *this->visits.Find(id);
  visit.phase = VisitPhase::kAbandoned;
  const auto waiters = visit.waiters;
  for (const auto& waiter : waiters) {
    this->Reply(now, waiter, 0,
                {.outcome = Outcome::kUnknown, .reason = reason}, &visit,
                actions);
    this->visits.RemoveWaiter(id, waiter.attempt);
  }
  this->visits.SetDue(id, std::max(now, visit.deadline) + kAbandonedRunTime);
}

void Gate::Conclude(Instant now,
                    VisitId id,
                    const Word& word,
                    Actions& actions) {
  const Visit visit = this->visits.Remove(id);
  this->suspects_in_flight -= visit.suspect ? 1 : 0;
  // Lent retries that are still out are lost with the visit's end. Attempts
  // that joined never used theirs and get all of it back.
  for (std::size_t index = 0; index < visit.waiters.size(); ++index) {
    const auto& waiter = visit.waiters[index];
    const bool first = waiter.attempt == visit.request.attempt;
    this->Reply(now, waiter,
                first ? visit.allowance.Remaining() : waiter.allowance, word,
                &visit, actions);
  }
  if (this->observer != nullptr && visit.phase != VisitPhase::kQueued) {
    this->observer->OnVisitEnded(now, id, actions);
  }
}

void Gate::Reply(Instant now,
                 const VisitWaiter& waiter,
                 int unspent,
                 const Word& word,
                 const Visit* visit,
                 Actions& actions) {
  VisitReply reply{.attempt = waiter.attempt,
                   .outcome = word.outcome,
                   .reason = word.reason,
                   .unspent_allowance = unspent,
                   .load = this->Load(),
                   .moved_to = word.moved_to};
  if (AsksToComeBack(word.reason)) {
    reply.retry_after = this->admission.RetryAfterRefusal(now);
  }
  if (visit != nullptr) {
    reply.thresholds = visit->thresholds;
  }
  // The default is told as well: that is how origins learn of its rise.
  reply.thresholds.emplace_back(this->options.service,
                                this->admission.Threshold(now));
  reply.next_binding = this->NextBinding(now, word);
  actions.push_back(ReplyToOrigin{
      .to = waiter.from, .reply = std::move(reply), .answer = word.answer});
}

std::optional<Binding> Gate::NextBinding(Instant now, const Word& word) {
  if (word.reason == Reason::kBindingRequired) {
    return this->bindings.Issue(now);
  }
  // A binding of a gate that goes away would only lead to kUnknown.
  if (word.outcome == Outcome::kUnknown || this->leaving ||
      !this->issues_bindings) {
    return std::nullopt;
  }
  return this->bindings.Issue(now);
}

void Gate::EndDue(Instant now, VisitId id, Actions& actions) {
  const auto& visit = *this->visits.Find(id);
  switch (visit.phase) {
    case VisitPhase::kQueued:
      this->admission.OnOverload(now, visit.request.importance,
                                 visit.request.admission_key);
      if (const auto candidate = CandidateOf(visit.request, visit.deadline);
          this->admission.MayWaitOn(now, candidate)) {
        this->visits.SetDue(id, this->admission.QueuedUntil(now, candidate));
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
