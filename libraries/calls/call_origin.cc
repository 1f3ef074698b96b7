#include "libraries/calls/call_origin.h"

#include <algorithm>
#include <utility>

#include "libraries/base/http_status.h"
#include "libraries/calls/error_response.h"

namespace agaterun::calls {

namespace {

using decision::Answer;
using decision::AttemptId;
using decision::CallId;
using decision::Outcome;
using decision::Reason;
using decision::VisitReply;

// A call waits for a slot for at most the target latency divided by this.
constexpr int kMaxWaitDivisor = 8;

// The same for nested calls. They wait longer, since refusing one wastes the
// work already done for its request.
constexpr int kNestedMaxWaitDivisor = 2;

// Shortest Retry-After of a refused call, before jitter.
constexpr Duration kMinRetryAfter = 100ms;

// Nested calls aren't retried when a larger fraction of the service's attempts
// fails.
constexpr double kMaxFailureFraction = 0.25;

// Minimum time to the deadline for a retry; an attempt with less would rarely
// complete.
constexpr Duration kMinTimeForRetry = 50ms;

}  // namespace

CallOrigin::CallOrigin(Options options,
                       const Dialect& dialect,
                       retries::CrashHistory& crashes,
                       membership::Fleet& fleet,
                       RandomSource& random,
                       OriginOutput& output)
    : options(std::move(options)),
      dialect(dialect),
      crashes(crashes),
      fleet(fleet),
      random(random),
      output(output),
      service_picker(random),
      chooser({.self = this->options.self,
               .failure_domain = this->options.failure_domain},
              fleet,
              random),
      budget(this->options.retry_options, this->options.started),
      admission(random) {}

void CallOrigin::SetConfiguration(
    std::shared_ptr<const routing::Configuration> configuration,
    std::uint64_t key_seed) {
  this->keys =
      std::make_shared<const accounts::KeyIndex>(configuration, key_seed);
  this->longest_timeout = {};
  for (const auto& route : configuration->routes) {
    this->longest_timeout = std::max(this->longest_timeout, route.timeout);
  }
  this->routes =
      std::make_shared<const routing::RouteTable>(std::move(configuration));
}

void CallOrigin::UpdateAdmission(Instant now) {
  admission::EntryAdmission::Capacities capacities;
  for (const auto& service : this->fleet.Services()) {
    const double slots = this->chooser.UsableSlots(now, service);
    capacities[service] = {
        .slots = slots,
        .used = slots * this->chooser.UtilizationOf(now, service)};
  }
  this->admission.SetCapacity(std::move(capacities));
  this->admission.Update(now);
}

Duration CallOrigin::MaxWait(Instant now, const Call& call) const {
  const auto target = call.route->target_latency;
  const auto divisor = call.parent ? kNestedMaxWaitDivisor : kMaxWaitDivisor;
  const auto waited = now - call.arrived;
  const auto remaining = target / divisor - waited;
  return std::clamp(remaining, Duration{},
                    std::max(Duration{}, call.deadline - now));
}

std::optional<NodeAddress> CallOrigin::ChooseNode(Instant now,
                                                  const Call& call,
                                                  bool needs_free_slot) {
  auto excluded = call.tried;
  if (call.trial_node) {
    for (const auto* node : this->fleet.NodesOf(call.service)) {
      if (node->node != *call.trial_node) {
        excluded.push_back(node->node);
      }
    }
  }
  return this->chooser.Choose(
      now, {.service = call.service,
            .excluded = excluded,
            .needs_free_slot = needs_free_slot,
            .response_bytes = this->response_sizes.Of(call.route->name),
            .target_latency = call.route->target_latency});
}

void CallOrigin::Dispatch(Instant now, Call& call, bool needs_free_slot) {
  const auto node = this->ChooseNode(now, call, needs_free_slot);
  if (!node) {
    if (call.reason == Reason::kNone) {
      call.reason = Reason::kUnreachable;
    }
    if (call.may_have_run) {
      this->EndCall(
          now, call,
          MakeErrorResponse(http_status::kBadGateway, call.reason, Duration{}),
          call.reason);
    } else {
      this->RefuseCall(now, call);
    }
    return;
  }
  this->SendTo(now, call, *node);
}

CallOrigin::Call* CallOrigin::FindCurrent(const AttemptId& attempt) {
  const auto found = this->calls.find(attempt.call);
  const bool is_current =
      found != this->calls.end() && attempt.origin == this->options.self &&
      attempt.incarnation == this->options.incarnation &&
      found->second.attempt && found->second.attempt->number == attempt.number;
  return is_current ? &found->second : nullptr;
}

void CallOrigin::OnReply(Instant now,
                         const VisitReply& reply,
                         const Answer& answer) {
  auto* call = this->FindCurrent(reply.attempt);
  if (call == nullptr) {
    return;
  }
  const auto node = call->attempt->node;
  const bool was_capacity_query = call->attempt->is_capacity_query;
  this->fleet.RecordLoad(now, node, reply.load);
  const bool failed =
      reply.outcome == Outcome::kUnknown ||
      reply.reason == Reason::kBackendRejected ||
      (answer != nullptr && answer->status >= http_status::kServerErrors &&
       answer->status != http_status::kGatewayTimeout);
  this->fleet.AttemptReplied(now, node, failed);
  call->attempt.reset();
  if (was_capacity_query && reply.reason == Reason::kNone) {
    this->SendAttempt(now, *call, node, /*is_capacity_query=*/false);
    return;
  }
  call->endpoints_reached += reply.offered ? 1 : 0;
  if (reply.outcome == Outcome::kNotRun) {
    call->refused_costs = reply.costs;
  } else if (call->parent && !reply.costs.empty()) {
    this->output.NestedCallEnded(call->parent->visit, reply.costs);
  }
  if (reply.outcome == Outcome::kCompleted && answer != nullptr) {
    if (ReadBackendNotice(*answer, this->dialect).is_leaving) {
      this->fleet.RecordStatedLeaving(node);
    }
    if (answer->status < http_status::kServerErrors) {
      this->crashes.RecordCompletion(now, call->fingerprint);
      this->response_sizes.RecordSize(call->route->name, answer->body.size());
    }
    if (!call->parent) {
      this->admission.RecordCompletion(
          call->route->name, reply.costs, now - call->arrived,
          answer->status < http_status::kServerErrors);
    }
    // A request without nested calls may succeed at another endpoint. One with
    // nested calls has most likely failed because of these.
    if (answer->status >= http_status::kServerErrors &&
        call->route->IsIdempotent() && this->RetryCost(*call) <= 1) {
      call->tried.push_back(node);
      const auto other =
          this->MayRetry(now, *call, 1)
              ? this->ChooseNode(now, *call, /*needs_free_slot=*/false)
              : std::nullopt;
      if (other) {
        call->may_have_run = true;
        this->SendTo(now, *call, *other);
        return;
      }
    }
    this->EndCall(now, *call, answer, Reason::kNone);
    return;
  }
  call->tried.push_back(node);
  if (reply.outcome == Outcome::kNotRun) {
    this->HandleNotRun(now, *call, reply);
  } else {
    this->HandleUnknownOutcome(now, *call, reply.reason);
  }
}

double CallOrigin::RetryCost(const Call& call) {
  // How many calls a request makes depends on the service, not on its load, so
  // old reports count as well.
  double calls = 0;
  for (const auto* node : this->fleet.NodesOf(call.service)) {
    calls = std::max(calls, node->load.calls_per_request);
  }
  // Each nested call of a retried request counts as a retry at the service it
  // goes to, and may cause further retries there.
  constexpr double kMinNestedCalls = 0.05;
  constexpr double kNestedCallCost = 5;
  return calls < kMinNestedCalls ? 1 : 1 + calls * kNestedCallCost;
}

bool CallOrigin::MayRetry(Instant now, Call& call, double cost) {
  // A nested call is one of several in its call tree. When many of them fail,
  // the rest of the tree would fail too, and the budget is better spent on
  // retrying whole requests.
  if (call.parent &&
      this->chooser.MeanFailureRatio(now, call.service) > kMaxFailureFraction) {
    return false;
  }
  return call.endpoints_reached < call.route->max_endpoints &&
         call.deadline - now > kMinTimeForRetry &&
         this->budget.TryConsume(now, call.service, cost);
}

void CallOrigin::HandleNotRun(Instant now,
                              Call& call,
                              const VisitReply& reply) {
  call.reason = reply.reason;
  if (reply.retry_after > Duration{}) {
    call.retry_after = reply.retry_after;
  }
  // A request that a backend server has rejected has reached it, so that the
  // next attempt is a retry.
  if (reply.offered && !this->MayRetry(now, call, 1)) {
    this->RefuseCall(now, call);
    return;
  }
  switch (reply.reason) {
    case Reason::kOverloaded:
      // Another endpoint may have free capacity.
      this->Dispatch(now, call, /*needs_free_slot=*/!call.parent);
      return;
    case Reason::kBackendRejected:
    case Reason::kLeaving:
    case Reason::kBackendDown:
    case Reason::kNoSuchService:
    case Reason::kUnreachable:
      this->Dispatch(now, call, /*needs_free_slot=*/false);
      return;
    default:
      this->RefuseCall(now, call);
      return;
  }
}

void CallOrigin::HandleUnknownOutcome(Instant now, Call& call, Reason reason) {
  call.may_have_run = true;
  call.reason = reason;
  if (call.route->IsIdempotent() &&
      this->MayRetry(now, call, this->RetryCost(call))) {
    this->Dispatch(now, call, /*needs_free_slot=*/false);
    return;
  }
  this->EndCall(now, call,
                MakeErrorResponse(http_status::kBadGateway, reason, Duration{}),
                reason);
}

void CallOrigin::OnCallerDisconnected(Instant now, CallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end()) {
    return;
  }
  auto& call = found->second;
  this->CancelCurrentAttempt(now, call, /*is_unresponsive=*/false);
  this->EndCall(
      now, call,
      MakeErrorResponse(http_status::kBadGateway, Reason::kCancelled, {}),
      Reason::kCancelled);
}

void CallOrigin::OnTick(Instant now) {
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const auto id = this->deadlines.begin()->second;
    this->EndExpiredCall(now, this->calls.at(id));
  }
  this->MoveUnansweredQueries(now);
  this->RetryUnresponsiveAttempts(now);
}

std::optional<Instant> CallOrigin::NextWake() const {
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  return this->deadlines.begin()->first;
}

void CallOrigin::RefuseCall(Instant now, Call& call) {
  const double jitter = 0.5 + this->random.Unit();
  const auto base = std::max(call.retry_after, kMinRetryAfter);
  const auto retry_after = std::chrono::duration_cast<Duration>(base * jitter);
  this->EndCall(
      now, call,
      MakeErrorResponse(http_status::kUnavailable, call.reason, retry_after),
      call.reason);
}

void CallOrigin::EndExpiredCall(Instant now, Call& call) {
  const bool may_be_running = call.attempt && !call.attempt->is_capacity_query;
  this->CancelCurrentAttempt(now, call, /*is_unresponsive=*/false);
  if (!may_be_running && !call.may_have_run) {
    this->RefuseCall(now, call);
    return;
  }
  // The attempt in flight may still run, so the response must not say that the
  // request did not run.
  this->EndCall(now, call,
                MakeErrorResponse(http_status::kGatewayTimeout,
                                  Reason::kDeadlineExceeded, {}),
                Reason::kDeadlineExceeded);
}

void CallOrigin::EndAllCalls(Instant now) {
  std::vector<CallId> ids;
  for (const auto& [id, call] : this->calls) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    // Ending a call may end calls that are nested in it.
    if (const auto found = this->calls.find(id); found != this->calls.end()) {
      this->EndExpiredCall(now, found->second);
    }
  }
}

void CallOrigin::EndCall(Instant now,
                         Call& call,
                         HttpResponse response,
                         Reason reason) {
  this->EndCall(now, call,
                std::make_shared<const HttpResponse>(std::move(response)),
                reason);
}

void CallOrigin::EndCall(Instant now,
                         Call& call,
                         const Answer& response,
                         Reason reason) {
  if (call.parent && response->status == http_status::kUnavailable &&
      !call.refused_costs.empty()) {
    this->output.NestedCallEnded(call.parent->visit, call.refused_costs);
  }
  const bool is_not_run =
      reason != Reason::kNone && response->status == http_status::kUnavailable;
  if (is_not_run && !call.parent && !call.account.empty()) {
    this->quotas.Return(now, call.account);
  }
  const CallSummary summary{.route = call.route->name,
                            .service = call.service,
                            .account = call.account,
                            .overloaded_service = call.overloaded_service,
                            .status = response->status,
                            .reason = reason,
                            .attempts = static_cast<int>(call.attempts),
                            .elapsed = now - call.arrived,
                            .nested = call.parent.has_value(),
                            .importance = call.importance,
                            .last_node = call.last_node};
  const auto [first, last] = this->deadlines.equal_range(call.deadline);
  for (auto entry = first; entry != last; ++entry) {
    if (entry->second == call.id) {
      this->deadlines.erase(entry);
      break;
    }
  }
  // Responding may start the caller's next request and so modify `calls`;
  // therefore the call is removed first.
  const auto ended = this->calls.extract(call.id);
  this->output.RespondToCaller(ended.key(), response, *ended.mapped().request,
                               summary);
}

}  // namespace agaterun::calls
