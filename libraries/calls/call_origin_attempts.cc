#include <algorithm>
#include <vector>

#include "libraries/calls/call_origin.h"

// CallOrigin's handling of attempts: capacity queries, sending, lost
// connections, cancellation, and the move to another node.
namespace agaterun::calls {

namespace {

using decision::AttemptId;
using decision::CallId;
using decision::Reason;
using decision::VisitRequest;

// A node whose last message is younger than this is assumed to be reachable.
// Within the failure domain that is one and a half heartbeat intervals, for
// other failure domains less than the time to detect a network partition.
constexpr Duration kMaxNearMessageAge = 450ms;
constexpr Duration kMaxOtherDomainMessageAge = 150ms;

// Time to wait for the reply to a capacity query. Gates reply without queueing.
constexpr Duration kCapacityQueryTimeout = 250ms;

// An idempotent attempt at an unresponsive node is retried at another node
// after this long.
constexpr Duration kUnresponsiveAttemptTimeout = 500ms;

}  // namespace

bool CallOrigin::NeedsCapacityQuery(Instant now,
                                    const Call& call,
                                    NodeAddress node) {
  const auto* known = this->fleet.Find(node);
  if (call.route->IsIdempotent() || node == this->options.self ||
      known == nullptr) {
    return false;
  }
  const auto max_age = this->fleet.IsInOwnDomain(*known)
                           ? kMaxNearMessageAge
                           : kMaxOtherDomainMessageAge;
  return !known->last_contact || now - *known->last_contact > max_age;
}

void CallOrigin::SendTo(Instant now, Call& call, NodeAddress node) {
  this->SendAttempt(now, call, node, this->NeedsCapacityQuery(now, call, node));
}

void CallOrigin::SendAttempt(Instant now,
                             Call& call,
                             NodeAddress node,
                             bool is_capacity_query) {
  if (call.deadline <= now) {
    // Its deadline timer is due as well, but has not run yet.
    call.reason = Reason::kDeadlineExceeded;
    this->EndExpiredCall(now, call);
    return;
  }
  call.attempt = Attempt{.node = node,
                         .is_capacity_query = is_capacity_query,
                         .number = ++call.attempts,
                         .sent = now};
  call.last_node = node;
  this->fleet.AttemptSent(now, node);
  const VisitRequest visit{
      .attempt = {.origin = this->options.self,
                  .incarnation = this->options.incarnation,
                  .call = call.id,
                  .number = call.attempts},
      .service = call.service,
      .route = call.route->name,
      .remaining = call.deadline - now,
      .importance = call.importance,
      .account_priority = call.account_priority,
      .idempotent = call.route->IsIdempotent(),
      .fingerprint = call.fingerprint,
      .share = call.account,
      .nested = call.parent.has_value(),
      .returned_after_refusal = call.returned_after_refusal,
      .max_wait = this->MaxWait(now, call),
      .is_capacity_query = is_capacity_query};
  static const auto no_request = std::make_shared<const HttpRequest>();
  this->output.SendVisit(node, visit,
                         is_capacity_query ? no_request : call.request);
}

void CallOrigin::OnAttemptLost(Instant now,
                               const AttemptId& attempt,
                               bool was_sent) {
  auto* call = this->FindCurrent(attempt);
  if (call == nullptr) {
    return;
  }
  const auto [node, is_capacity_query, number, sent_at] = *call->attempt;
  this->fleet.AttemptEnded(now, node, /*is_unresponsive=*/true);
  call->attempt.reset();
  call->tried.push_back(node);
  if (!was_sent || is_capacity_query) {
    call->reason = Reason::kUnreachable;
    this->Dispatch(now, *call, /*needs_free_slot=*/false);
    return;
  }
  call->endpoints_reached += 1;
  this->HandleUnknownOutcome(now, *call, Reason::kConnectionLost);
}

void CallOrigin::CancelCurrentAttempt(Instant now,
                                      Call& call,
                                      bool is_unresponsive) {
  if (!call.attempt) {
    return;
  }
  const auto attempt = *call.attempt;
  call.attempt.reset();
  this->fleet.AttemptEnded(now, attempt.node, is_unresponsive);
  this->output.CancelVisit(attempt.node,
                           {.origin = this->options.self,
                            .incarnation = this->options.incarnation,
                            .call = call.id,
                            .number = attempt.number});
}

void CallOrigin::MoveUnansweredQueries(Instant now) {
  std::vector<CallId> unanswered_queries;
  for (const auto& [id, call] : this->calls) {
    if (call.attempt && call.attempt->is_capacity_query &&
        now - call.attempt->sent > kCapacityQueryTimeout) {
      unanswered_queries.push_back(id);
    }
  }
  for (const auto id : unanswered_queries) {
    auto& call = this->calls.at(id);
    call.tried.push_back(call.attempt->node);
    call.reason = Reason::kUnreachable;
    this->CancelCurrentAttempt(now, call, /*is_unresponsive=*/true);
    this->Dispatch(now, call, /*needs_free_slot=*/false);
  }
}

void CallOrigin::RetryUnresponsiveAttempts(Instant now) {
  const auto unresponsive = this->fleet.UnresponsiveNodes(now);
  if (unresponsive.empty()) {
    return;
  }
  std::vector<CallId> unresponsive_attempts;
  for (const auto& [id, call] : this->calls) {
    if (call.attempt && call.route->IsIdempotent() &&
        now - call.attempt->sent > kUnresponsiveAttemptTimeout &&
        std::find(unresponsive.begin(), unresponsive.end(),
                  call.attempt->node) != unresponsive.end()) {
      unresponsive_attempts.push_back(id);
    }
  }
  for (const auto id : unresponsive_attempts) {
    if (const auto found = this->calls.find(id); found != this->calls.end()) {
      auto& call = found->second;
      call.tried.push_back(call.attempt->node);
      call.endpoints_reached += 1;
      this->CancelCurrentAttempt(now, call, /*is_unresponsive=*/true);
      this->HandleUnknownOutcome(now, call, Reason::kConnectionLost);
    }
  }
}

}  // namespace agaterun::calls
