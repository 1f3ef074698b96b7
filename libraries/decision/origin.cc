#include "libraries/decision/origin.h"

#include <algorithm>

namespace agaterun::decision {

Origin::Origin(Options options,
               ParentVisits& parents,
               PeerTable& peers,
               RandomSource& random)
    : options(std::move(options)),
      parents(parents),
      peers(peers),
      random(random),
      state(std::make_shared<TicketState>()) {}

void Origin::SetState(std::shared_ptr<const TicketState> state) {
  this->state = std::move(state);
}

void Origin::OnCallArrived(Instant now,
                           const CallArrived& event,
                           Actions& actions) {
  const auto refuse = [&](Reason reason) {
    actions.push_back(AnswerCaller{
        .call = event.call, .outcome = Outcome::kNotRun, .reason = reason});
  };
  const auto service = this->state->FindService(event.service);
  if (!service || service->endpoints.empty()) {
    refuse(Reason::kNoSuchService);
    return;
  }
  const auto* route = FindRoute(*service, event.method, event.path);
  if (route == nullptr) {
    refuse(Reason::kNoSuchRoute);
    return;
  }
  Call call;
  call.deadline = now + route->deadline;
  call.parent = event.parent;
  call.gate =
      service->endpoints[this->random.Below(service->endpoints.size())].node;
  call.attempt = AttemptId{.origin = this->options.self,
                           .incarnation = this->options.incarnation,
                           .call = event.call,
                           .number = 1};
  VisitRequest request{.attempt = call.attempt,
                       .service = service->name,
                       .route = route->name,
                       .remaining = route->deadline,
                       .importance = route->importance,
                       .idempotent = route->idempotent,
                       .fingerprint = event.fingerprint,
                       .share = event.share};
  this->calls.emplace(event.call, call);
  if (event.parent) {
    this->parents.NestedCallStarted(now, *event.parent);
  }
  actions.push_back(SendAttempt{.to = call.gate, .request = request});
}

void Origin::Finish(Instant now, AnswerCaller answer, Actions& actions) {
  const auto found = this->calls.find(answer.call);
  if (found == this->calls.end()) {
    return;
  }
  if (const auto& parent = found->second.parent; parent) {
    this->parents.NestedCallEnded(now, *parent, 0, {});
  }
  this->calls.erase(found);
  actions.push_back(std::move(answer));
}

void Origin::OnCallerGone(Instant now,
                          const CallerGone& event,
                          Actions& actions) {
  const auto found = this->calls.find(event.call);
  if (found == this->calls.end()) {
    return;
  }
  actions.push_back(CancelAttempt{.to = found->second.gate,
                                  .attempt = found->second.attempt});
  this->Finish(now,
               AnswerCaller{.call = event.call, .reason = Reason::kCancelled},
               actions);
}

void Origin::OnAttemptReplied(Instant now,
                              const AttemptReplied& event,
                              Actions& actions) {
  this->Finish(now,
               AnswerCaller{.call = event.reply.attempt.call,
                            .outcome = event.reply.outcome,
                            .reason = event.reply.reason,
                            .answer = event.answer,
                            .retry_after = event.reply.retry_after,
                            .next_binding = event.reply.next_binding},
               actions);
}

void Origin::OnAttemptLost(Instant now,
                           const AttemptLost& event,
                           Actions& actions) {
  this->Finish(
      now,
      AnswerCaller{.call = event.attempt.call,
                   .outcome = event.sent ? Outcome::kUnknown : Outcome::kNotRun,
                   .reason = event.sent ? Reason::kConnectionLost
                                        : Reason::kUnreachable},
      actions);
}

void Origin::OnVisitEnded(Instant now, VisitId visit, Actions& actions) {
  std::vector<CallId> nested;
  for (const auto& [id, call] : this->calls) {
    if (call.parent == visit) {
      nested.push_back(id);
    }
  }
  for (const auto id : nested) {
    this->OnCallerGone(now, CallerGone{.call = id}, actions);
  }
}

void Origin::OnTick(Instant now, Actions& actions) {
  std::vector<CallId> expired;
  for (const auto& [id, call] : this->calls) {
    if (call.deadline <= now) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    const auto& call = this->calls.at(id);
    actions.push_back(CancelAttempt{.to = call.gate, .attempt = call.attempt});
    this->Finish(now,
                 AnswerCaller{.call = id, .reason = Reason::kDeadlineExceeded},
                 actions);
  }
}

std::optional<Instant> Origin::NextWake() const {
  std::optional<Instant> next;
  for (const auto& [id, call] : this->calls) {
    next = next ? std::min(*next, call.deadline) : call.deadline;
  }
  return next;
}

}  // namespace agaterun::decision
