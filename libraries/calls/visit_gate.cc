#include "libraries/calls/visit_gate.h"

#include <algorithm>
#include <utility>

#include "libraries/base/freshness.h"
#include "libraries/base/http_status.h"

namespace agaterun::calls {

namespace {

using decision::Answer;
using decision::LoadReport;
using decision::Outcome;
using decision::Reason;
using decision::ServiceCost;
using decision::VisitReply;
using decision::VisitRequest;

// Maximum fraction of the slots in use. Some backend servers slow down when
// they are nearly full, and a new connection may occupy a slot for a moment.
constexpr double kMaxUtilization = 0.95;

// An exchange that has not been cancelled is aborted this long after its
// deadline.
constexpr Duration kOverdueAbortDelay = 150ms;

// While no new results arrive, the measurements of the backend server lose half
// their weight in this time. Below the minimum weight they are not reported.
constexpr Duration kMeasurementHalfLife = 1s;
constexpr double kMinFreshness = 0.3;

// Counts of visits and nested calls are halved at this many.
constexpr double kMaxCountedVisits = 400;

void AddCost(std::vector<ServiceCost>& costs,
             std::string_view service,
             Duration slot_time) {
  for (auto& existing : costs) {
    if (existing.service == service) {
      existing.slot_time += slot_time;
      return;
    }
  }
  costs.push_back({.service = std::string(service), .slot_time = slot_time});
}

// Order of the queue, lower first. Within one rank, nested calls go before
// returning requests and these before new ones, since the call tree of a nested
// call has already begun.
int QueuePriority(const VisitRequest& request) {
  constexpr int kPrioritiesPerRank = 3;
  const int first = request.Rank() * kPrioritiesPerRank;
  if (request.nested) {
    return first;
  }
  return first + (request.returned_after_refusal ? 1 : 2);
}

}  // namespace

void VisitGate::SetService(std::string service) {
  if (service != this->options.service) {
    this->times.Clear();
  }
  this->options.service = std::move(service);
}

void VisitGate::SetEntry(Instant now,
                         std::optional<membership::EndpointEntry> new_entry) {
  this->entry = std::move(new_entry);
  if (this->entry && (this->entry->id != this->notice_instance ||
                      this->entry->started_at != this->notice_started_at)) {
    // Another incarnation doesn't know what the one before it stated.
    this->notice = {};
    if (!this->notice_instance.empty()) {
      // It started while this process runs, so it has not stated a rate to an
      // earlier process either.
      this->rate_limit.SetStatedRate(now, std::nullopt);
    }
    this->notice_instance = this->entry->id;
    this->notice_started_at = this->entry->started_at;
  }
  if (this->entry) {
    this->queue.SetLimit(
        static_cast<int>(this->entry->slots * kMaxUtilization));
  }
  if (const auto reason = this->ClosedReason(); reason != Reason::kNone) {
    this->RefuseQueued(now, reason);
    return;
  }
  this->StartQueued(now);
}

void VisitGate::SetReachable(Instant now, bool is_reachable) {
  this->reachable = is_reachable;
  if (is_reachable) {
    this->StartQueued(now);
  } else {
    // Queued requests can run at another endpoint immediately.
    this->RefuseQueued(now, Reason::kBackendDown);
  }
}

void VisitGate::StartLeaving(Instant now) {
  this->stopping = true;
  this->RefuseQueued(now, Reason::kLeaving);
}

bool VisitGate::IsBackendLeaving() const {
  return this->entry && (this->entry->leaving || this->notice.is_leaving);
}

Reason VisitGate::ClosedReason() const {
  if (this->stopping || this->IsBackendLeaving()) {
    return Reason::kLeaving;
  }
  if (!this->entry || !this->reachable) {
    return Reason::kBackendDown;
  }
  return Reason::kNone;
}

Duration VisitGate::ExpectedWait(Instant now, int priority) const {
  return std::max(
      this->queue.ExpectedWait(priority),
      this->rate_limit.ExpectedWait(now, this->queue.QueuedAhead(priority)));
}

void VisitGate::OnVisit(Instant now,
                        NodeAddress from,
                        const VisitRequest& request,
                        SharedRequest http_request) {
  if (this->visits_by_attempt.contains(request.attempt)) {
    return;
  }
  if (request.is_capacity_query) {
    this->ReplyToCapacityQuery(now, from, request);
    return;
  }
  const auto number = this->next_number++;
  this->visits_by_attempt.emplace(request.attempt, number);
  Visit new_visit{.from = from,
                  .request = request,
                  .http_request = std::move(http_request),
                  .arrived = now,
                  .deadline = now + request.remaining,
                  .route = admission::WorkTimes::IdOf(request.route)};
  if (const auto* id =
          FindHeader(new_visit.http_request->headers, this->dialect.request_id);
      id != nullptr) {
    new_visit.request_id = *id;
  }
  this->visits.emplace(number, std::move(new_visit));
  auto reason = this->ClosedReason();
  if (request.service != this->options.service) {
    reason = Reason::kNoSuchService;
  }
  if (this->IsRefusedAsQuarantined(now, this->visits.at(number))) {
    reason = Reason::kQuarantined;
  }
  if (reason != Reason::kNone) {
    this->RefuseVisit(now, number, reason);
    return;
  }
  const int priority = QueuePriority(request);
  if (this->queue.CanStart(priority) && this->rate_limit.MayStart(now)) {
    this->StartVisit(now, number);
    return;
  }
  if (this->ExpectedWait(now, priority) > request.max_wait) {
    this->RefuseVisit(now, number, Reason::kOverloaded);
    return;
  }
  this->queue.Push({.id = number,
                    .rank = priority,
                    .latest_start = now + request.max_wait,
                    .work = this->times.Own(this->visits.at(number).route)});
}

bool VisitGate::IsRefusedAsQuarantined(Instant now, const Visit& visit) const {
  const auto fingerprint = visit.request.fingerprint;
  if (!this->crashes.IsQuarantined(now, fingerprint)) {
    return false;
  }
  const bool is_on_trial_here =
      this->crashes.TrialNode(
          now, fingerprint, this->fleet.ListedNodesOf(this->options.service)) ==
      this->crashes.Self();
  const auto copies = std::count_if(
      this->visits.begin(), this->visits.end(), [&](const auto& item) {
        return item.second.request.fingerprint == fingerprint;
      });
  return !is_on_trial_here || copies > 1;
}

void VisitGate::ReplyToCapacityQuery(Instant now,
                                     NodeAddress from,
                                     const VisitRequest& request) {
  const auto reason = request.service == this->options.service
                          ? this->ClosedReason()
                          : Reason::kNoSuchService;
  this->output.SendReply(from,
                         {.attempt = request.attempt,
                          .outcome = Outcome::kNotRun,
                          .reason = reason,
                          .load = this->Load(now)},
                         nullptr);
}

void VisitGate::StartVisit(Instant now, VisitNumber number) {
  auto& visit = this->visits.at(number);
  if (visit.deadline <= now) {
    this->RefuseVisit(now, number, Reason::kDeadlineExceeded);
    return;
  }
  visit.is_running = true;
  visit.started = now;
  visit.instance = this->entry->id;
  this->running_by_request_id[visit.request_id] = number;
  this->queue.Started();
  this->rate_limit.Started(now);
  this->started_visits += 1;
  if (this->started_visits > kMaxCountedVisits) {
    this->started_visits /= 2;
    this->nested_calls /= 2;
  }
  this->output.StartExchange(number, visit.http_request,
                             visit.request.idempotent, visit.instance,
                             visit.deadline - now);
}

void VisitGate::StartQueued(Instant now) {
  if (this->ClosedReason() != Reason::kNone) {
    return;
  }
  while (this->rate_limit.MayStart(now)) {
    const auto next = this->queue.Pop();
    if (!next) {
      return;
    }
    this->StartVisit(now, *next);
  }
}

void VisitGate::RefuseQueued(Instant now, Reason reason) {
  for (const auto number : this->queue.PopAll()) {
    this->RefuseVisit(now, number, reason);
  }
}

void VisitGate::RefuseVisit(Instant now, VisitNumber number, Reason reason) {
  const auto& visit = this->visits.at(number);
  this->output.ReportVisit(LogEvent::kVisitRefused, *visit.http_request, reason,
                           now - visit.arrived);
  this->SendVisitReply(now, visit, Outcome::kNotRun, reason, /*offered=*/false,
                       nullptr);
  this->EndVisit(number);
}

void VisitGate::SendVisitReply(Instant now,
                               const Visit& visit,
                               Outcome outcome,
                               Reason reason,
                               bool offered,
                               Answer answer,
                               std::vector<ServiceCost> costs) {
  if (visit.has_replied) {
    return;
  }
  VisitReply reply{.attempt = visit.request.attempt,
                   .outcome = outcome,
                   .reason = reason,
                   .load = this->Load(now),
                   .offered = offered,
                   .costs = std::move(costs)};
  if (reason == Reason::kOverloaded) {
    constexpr int kLowestPriority = 1000;
    reply.retry_after = this->ExpectedWait(now, kLowestPriority);
    reply.costs = {{.service = this->options.service,
                    .slot_time = this->queue.ServiceTime()}};
  }
  this->output.SendReply(visit.from, std::move(reply), std::move(answer));
}

NestedCallParent VisitGate::MakeParent(VisitNumber number, const Visit& visit) {
  return {.visit = number,
          .importance = visit.request.importance,
          .account_priority = visit.request.account_priority,
          .account = visit.request.share};
}

void VisitGate::EndVisit(VisitNumber number) {
  const auto found = this->visits.find(number);
  this->visits_by_attempt.erase(found->second.request.attempt);
  if (const auto running =
          this->running_by_request_id.find(found->second.request_id);
      running != this->running_by_request_id.end() &&
      running->second == number) {
    this->running_by_request_id.erase(running);
  }
  this->visits.erase(found);
}

std::optional<NestedCallParent> VisitGate::FindParent(
    Instant now,
    std::string_view request_id) const {
  const auto parent_id = ParentIdOf(request_id);
  if (!parent_id) {
    return std::nullopt;
  }
  const auto running =
      this->running_by_request_id.find(std::string(*parent_id));
  if (running != this->running_by_request_id.end()) {
    return MakeParent(running->second, this->visits.at(running->second));
  }
  const auto* parent = this->abandoned.Find(now, *parent_id);
  return parent == nullptr ? std::nullopt : std::optional(*parent);
}

void VisitGate::RecordAbandoned(Instant now,
                                VisitNumber number,
                                const Visit& visit) {
  auto parent = MakeParent(number, visit);
  // The origin may run an idempotent request again.
  parent.is_abandoned = visit.request.idempotent;
  this->abandoned.Add(now, visit.request_id, visit.deadline, std::move(parent));
}

void VisitGate::AddCosts(VisitNumber number,
                         const std::vector<ServiceCost>& costs) {
  const auto found = this->visits.find(number);
  if (found == this->visits.end()) {
    return;
  }
  for (const auto& cost : costs) {
    AddCost(found->second.costs, cost.service, cost.slot_time);
  }
}

std::vector<ServiceCost> VisitGate::TotalCosts(Instant now,
                                               const Visit& visit) const {
  auto costs = visit.costs;
  AddCost(costs, this->options.service, now - visit.started);
  return costs;
}

void VisitGate::OnCancelled(Instant now, const decision::AttemptId& attempt) {
  const auto found = this->visits_by_attempt.find(attempt);
  if (found == this->visits_by_attempt.end()) {
    return;
  }
  const auto number = found->second;
  auto& visit = this->visits.at(number);
  if (!visit.is_running) {
    this->queue.Remove(number);
    this->SendVisitReply(now, visit, Outcome::kNotRun, Reason::kCancelled,
                         false, nullptr);
    this->EndVisit(number);
    return;
  }
  this->SendVisitReply(now, visit, Outcome::kUnknown, Reason::kCancelled, true,
                       nullptr);
  if (!visit.request.idempotent && visit.deadline > now) {
    // A non-idempotent request isn't aborted either, so that it doesn't stay
    // half done.
    visit.has_replied = true;
    return;
  }
  this->output.AbortExchange(number);
  this->queue.Ended(now - visit.started);
  this->times.RecordLowerBound(now, visit.route, now - visit.started);
  this->last_result = now;
  this->RecordAbandoned(now, number, visit);
  this->EndVisit(number);
  this->StartQueued(now);
}

void VisitGate::OnTick(Instant now) {
  for (const auto number : this->queue.PopExpired(now)) {
    this->RefuseVisit(now, number, Reason::kOverloaded);
  }
  std::vector<VisitNumber> overdue;
  for (const auto& [number, visit] : this->visits) {
    if (visit.is_running && now - visit.deadline > kOverdueAbortDelay) {
      overdue.push_back(number);
    }
  }
  for (const auto number : overdue) {
    const auto& visit = this->visits.at(number);
    this->output.AbortExchange(number);
    this->queue.Ended(now - visit.started);
    this->times.RecordLowerBound(now, visit.route, now - visit.started);
    this->SendVisitReply(now, visit, Outcome::kUnknown,
                         Reason::kDeadlineExceeded, true, nullptr);
    this->EndVisit(number);
  }
  this->UpdateRunningTimes(now);
  this->StartQueued(now);
}

void VisitGate::UpdateRunningTimes(Instant now) {
  admission::WorkTimes::Running running;
  for (const auto& [number, visit] : this->visits) {
    const auto usual =
        visit.is_running ? this->times.Usual(now, visit.route) : Duration{};
    if (usual > Duration{}) {
      running.taken += now - visit.started;
      running.usual += usual;
    }
  }
  this->times.SetRunning(running);
}

std::optional<Instant> VisitGate::NextWake(Instant now) const {
  const auto expiry = this->queue.NextExpiry();
  if (!expiry || this->queue.Running() >= this->queue.Limit()) {
    return expiry;
  }
  return std::min(*expiry, now + this->rate_limit.ExpectedWait(now, 0));
}

LoadReport VisitGate::Load(Instant now) const {
  // Old measurements are not reported. Otherwise a backend server that was once
  // slow would get no requests and could never show that it has recovered.
  const double freshness =
      Freshness(now - this->last_result, kMeasurementHalfLife);
  const bool is_known = freshness > kMinFreshness;
  LoadReport load{
      .running = static_cast<std::uint32_t>(this->queue.Running()),
      .queued = static_cast<std::uint32_t>(this->queue.Queued()),
      .limit = static_cast<std::uint32_t>(this->queue.Limit()),
      .leaving = this->stopping || this->IsBackendLeaving(),
      .backend_up = this->entry.has_value() && this->reachable,
      .service_time = is_known ? this->queue.ServiceTime() : Duration{},
      .slowness = this->times.Slowness(now).value_or(0),
      .failure_share = this->failure_share * freshness};
  if (this->started_visits > 0) {
    load.calls_per_request = this->nested_calls / this->started_visits;
  }
  if (const auto concurrency =
          this->rate_limit.Concurrency(this->queue.ServiceTime());
      concurrency) {
    load.limit = std::min(load.limit, static_cast<std::uint32_t>(*concurrency));
  }
  if (!this->rate_limit.MayStart(now)) {
    // No slot is usable until the rate allows the next request.
    load.running = std::max(load.running, load.limit);
  }
  return load;
}

}  // namespace agaterun::calls
