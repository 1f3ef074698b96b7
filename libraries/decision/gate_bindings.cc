#include <algorithm>

#include "libraries/base/verify.h"
#include "libraries/decision/gate.h"

// Handling of bindings at a gate. Bindings ensure that non-idempotent requests
// run at most once.
namespace agaterun::decision {

namespace {

// Maximum number of attempts that wait for one visit. A caller that resends
// through every node of its failure domain stays below it.
constexpr std::size_t kMaxWaitersPerVisit = 32;

}  // namespace

bool Gate::CheckBinding(Instant now,
                        const VisitArrived& event,
                        Actions& actions) {
  const auto& request = event.request;
  const auto& binding = *request.binding;
  const auto entry = this->bindings.Find(now, binding);
  const auto reply = [&](const VisitResult& result) {
    this->SendReply(now, MakeWaiter(event), request.allowance, result, nullptr,
                    actions);
    return false;
  };
  const bool in_use = entry.state == BindingState::kActive ||
                      entry.state == BindingState::kFinished;
  if (in_use && entry.fingerprint != request.fingerprint) {
    return reply({.outcome = Outcome::kNotRun, .reason = Reason::kMalformed});
  }
  switch (entry.state) {
    case BindingState::kOpen:
      return true;
    case BindingState::kActive:
      this->JoinVisit(now, event, entry.visit, actions);
      return false;
    case BindingState::kFinished:
      return reply({.outcome = Outcome::kCompleted, .answer = entry.answer});
    case BindingState::kRefused:
      // This reply reports to the caller that its request was not run. From now
      // on the refused call must not move the binding any more, or the request
      // would run after all.
      if (!this->bindings.WasRefused(binding, request.attempt)) {
        this->bindings.Fence(binding);
      }
      [[fallthrough]];
    case BindingState::kFenced:
      return reply(
          {.outcome = Outcome::kNotRun, .reason = Reason::kBindingFenced});
    case BindingState::kMoved:
      return reply({.outcome = Outcome::kNotRun, .moved_to = entry.moved_to});
    case BindingState::kNeverIssued:
      return reply({.outcome = Outcome::kNotRun, .reason = Reason::kMalformed});
    case BindingState::kLost:
    case BindingState::kElsewhere:
      return reply(
          {.outcome = Outcome::kUnknown, .reason = Reason::kBindingLost});
  }
  return false;
}

void Gate::JoinVisit(Instant now,
                     const VisitArrived& event,
                     VisitId id,
                     Actions& actions) {
  auto& visit = *this->visits.Find(id);
  if (visit.waiters.size() >= kMaxWaitersPerVisit) {
    this->SendReply(
        now, MakeWaiter(event), event.request.allowance,
        {.outcome = Outcome::kUnknown, .reason = Reason::kLimitReached},
        nullptr, actions);
    return;
  }
  this->visits.AddWaiter(id, MakeWaiter(event));
  if (visit.phase == VisitPhase::kQueued) {
    return;
  }
  // The visit has a waiter again, up to the later of both deadlines.
  visit.phase = VisitPhase::kRunning;
  visit.deadline = std::max(visit.deadline, now + event.request.remaining);
  this->visits.SetDue(id, visit.deadline);
}

void Gate::IssueBinding(Instant now,
                        const VisitArrived& event,
                        Actions& actions) {
  const auto& request = event.request;
  Reason reason = this->FindClosedReason(request);
  if (reason == Reason::kNone &&
      !this->admission.WouldAdmit(now, request.importance,
                                  request.admission_key)) {
    reason = Reason::kOverloaded;
  }
  this->SendReply(
      now, MakeWaiter(event), request.allowance,
      {.outcome = Outcome::kNotRun,
       .reason = reason == Reason::kNone ? Reason::kBindingRequired : reason},
      nullptr, actions);
}

void Gate::QueryBinding(Instant now,
                        const VisitArrived& event,
                        Actions& actions) {
  const auto& request = event.request;
  VisitResult result{.outcome = Outcome::kNotRun, .reason = Reason::kMalformed};
  if (request.binding) {
    const auto entry = this->bindings.Find(now, *request.binding);
    switch (entry.state) {
      case BindingState::kOpen:
      case BindingState::kRefused:
      case BindingState::kFenced:
        // The query fences the binding, so that the reply "not run" stays true.
        this->bindings.Fence(*request.binding);
        result.reason = Reason::kBindingFenced;
        break;
      case BindingState::kActive:
        result = {.outcome = Outcome::kUnknown, .reason = Reason::kInProgress};
        break;
      case BindingState::kFinished:
        result = {.outcome = Outcome::kCompleted, .answer = entry.answer};
        break;
      case BindingState::kMoved:
        result = {.outcome = Outcome::kNotRun, .moved_to = entry.moved_to};
        break;
      case BindingState::kNeverIssued:
        break;
      case BindingState::kLost:
      case BindingState::kElsewhere:
        result = {.outcome = Outcome::kUnknown, .reason = Reason::kBindingLost};
        break;
    }
  }
  this->SendReply(now, MakeWaiter(event), request.allowance, result, nullptr,
                  actions);
}

void Gate::MoveBinding(Instant now,
                       const VisitArrived& event,
                       Actions& actions) {
  const auto& request = event.request;
  if (!request.binding || !request.moved_to) {
    this->SendReply(now, MakeWaiter(event), request.allowance,
                    {.outcome = Outcome::kNotRun, .reason = Reason::kMalformed},
                    nullptr, actions);
    return;
  }
  const auto entry = this->bindings.Find(now, *request.binding);
  if (entry.state == BindingState::kRefused &&
      this->bindings.Move(*request.binding, *request.moved_to,
                          request.attempt)) {
    this->SendReply(now, MakeWaiter(event), request.allowance,
                    {.outcome = Outcome::kNotRun, .moved_to = request.moved_to},
                    nullptr, actions);
    return;
  }
  // This call may not move the binding. It receives the binding's current state
  // instead.
  this->QueryBinding(now, event, actions);
}

}  // namespace agaterun::decision
