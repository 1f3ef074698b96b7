#include "libraries/proxy/proxy_node.h"

#include <algorithm>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/http/message_writer.h"
#include "libraries/proxy/reply_memory.h"

namespace agaterun::proxy {

namespace {

using decision::Answer;
using decision::AttemptId;
using decision::CallId;
using decision::VisitReply;
using decision::VisitRequest;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kFleetCheckInterval = 1s;

constexpr Duration kQuotaUpdateInterval = 100ms;

// Connect timeout for connections to other nodes.
constexpr Duration kLinkTimeout = 1s;

// Part of the memory of the process that responses may take. The rest is for
// requests, links and the state of the fleet.
constexpr double kResponseMemoryRatio = 0.6;

admission::ResponseMemory::Options ResponseMemoryOptions(
    const NodeSettings& settings) {
  if (!settings.memory_bytes) {
    return {};
  }
  return {
      .max_bytes = static_cast<std::size_t>(
          static_cast<double>(*settings.memory_bytes) * kResponseMemoryRatio)};
}

}  // namespace

ProxyNode::ProxyNode(asio::io_context& io,
                     NodeSettings settings,
                     calls::Dialect dialect,
                     std::function<void()> on_stopped)
    : io(io),
      settings(std::move(settings)),
      dialect(std::move(dialect)),
      on_stopped(std::move(on_stopped)),
      // The lowest bit is set because 0 means an unknown incarnation.
      incarnation(this->random.Next() | 1),
      key_seed(this->random.Next()),
      fleet({.self = this->settings.node,
             .node_port = this->settings.node.port,
             .backend_port = this->settings.backend_server
                                 ? this->settings.backend_server->port
                                 : std::uint16_t{0},
             .failure_domain = this->settings.failure_domain}),
      fleet_size(this->settings.failure_domain_count),
      crashes(this->settings.node),
      gate({.service = this->settings.service},
           this->dialect,
           this->crashes,
           this->fleet,
           *this),
      origin({.self = this->settings.node,
              .incarnation = this->incarnation,
              .failure_domain = this->settings.failure_domain,
              .service = this->settings.service,
              .started = this->clock.Now()},
             this->dialect,
             this->crashes,
             this->fleet,
             this->random,
             *this),
      response_memory(std::make_shared<admission::ResponseMemory>(
          ResponseMemoryOptions(this->settings))),
      heartbeat_plan(this->settings.node, this->random),
      directory(this->settings.node),
      peer_account_use(accounts::kAccountReports),
      wake_timer(io),
      tick_timer(io) {
  this->SetSettings(this->settings);
}

ProxyNode::~ProxyNode() = default;

Result<std::unique_ptr<ProxyNode>> ProxyNode::Create(
    asio::io_context& io,
    NodeSettings settings,
    calls::Dialect dialect,
    const SourceFactory& make_source,
    std::function<void()> on_stopped) {
  std::unique_ptr<ProxyNode> created(new ProxyNode(
      io, std::move(settings), std::move(dialect), std::move(on_stopped)));
  if (auto opened = created->Open(make_source); !opened) {
    return tl::unexpected(opened.error());
  }
  return created;
}

Result<void> ProxyNode::Open(const SourceFactory& make_source) {
  auto created_links =
      node::NodeLinks::Create(this->io,
                              {.self = this->settings.node,
                               .incarnation = this->incarnation,
                               .connect_timeout = kLinkTimeout},
                              *this);
  if (!created_links) {
    return tl::unexpected(created_links.error());
  }
  this->links = std::move(*created_links);
  this->pool = std::make_unique<EndpointPool>(
      this->io,
      EndpointPool::Options{.backend_server = *this->settings.backend_server,
                            .request_id_header = this->dialect.request_id,
                            .response_memory = this->response_memory},
      *this);
  this->callers = std::make_unique<HttpListener>(
      this->io,
      HttpListener::Options{
          .listen = this->settings.caller,
          .max_connections = this->settings.caller_connections,
          .has_configured_limits = false},
      this->call_ids, *this);
  this->probe_server = this->MakeProbeServer(this->settings.probe);
  if (auto listening = this->callers->Listen(); !listening) {
    return listening;
  }
  if (auto listening = this->probe_server->Listen(); !listening) {
    return listening;
  }
  if (this->settings.metrics) {
    this->metrics_server = this->MakeProbeServer(*this->settings.metrics);
    if (auto listening = this->metrics_server->Listen(); !listening) {
      return listening;
    }
  }
  this->source = make_source(this->io, this->random, *this);
  this->source->Start();
  this->Tick();
  return {};
}

void ProxyNode::SetSettings(const NodeSettings& new_settings) {
  this->settings.service = new_settings.service;
  this->settings.strict_keys = new_settings.strict_keys;
  this->settings.max_key_age = new_settings.max_key_age;
  this->fleet_size.SetFailureDomains(new_settings.failure_domain_count);
  this->planned_stop.SetGrace(new_settings.stop_grace);
  this->gate.SetService(new_settings.service);
  this->origin.SetService(new_settings.service);
  this->origin.SetRetryOptions({.ratio = new_settings.retry_ratio,
                                .extra = new_settings.extra_retries,
                                .window = new_settings.retry_window});
  this->origin.Quotas().SetOptions({.window = new_settings.quota_window,
                                    .overage = new_settings.quota_overage,
                                    .slack = new_settings.quota_slack});
  this->UpdateLocalEntry(/*is_authoritative=*/false);
}

bool ProxyNode::IsReady() const {
  return !this->planned_stop.HasStarted() && this->gossip.Version() > 0 &&
         this->directory.Endpoints().CompleteRevision() > 0;
}

std::string ProxyNode::RequestIdOf(const HttpRequest& request) const {
  const auto* id = FindHeader(request.headers, this->dialect.request_id);
  return id == nullptr ? "-" : *id;
}

// --- Callers. ---

void ProxyNode::OnRequest(CallId call,
                          HttpRequest request,
                          NodeAddress /*caller*/) {
  if (!this->planned_stop.AcceptsRequests(this->Now())) {
    this->origin.StopAcceptingCalls();
  }
  // Callers and the backend server connect to the same address. A nested call
  // of the backend server is recognized by the request id of its parent visit.
  auto parent = this->gate.FindParent(this->Now(), this->RequestIdOf(request));
  this->origin.OnRequest(this->Now(), call, std::move(request),
                         std::move(parent));
  this->ArmWakeTimer();
}

void ProxyNode::OnCallerDisconnected(CallId call) {
  this->origin.OnCallerDisconnected(this->Now(), call);
}

void ProxyNode::NestedCallStarted() {
  this->gate.CountNestedCall();
}

void ProxyNode::NestedCallEnded(
    calls::VisitNumber parent,
    const std::vector<decision::ServiceCost>& costs) {
  this->gate.AddCosts(parent, costs);
}

void ProxyNode::RespondToCaller(CallId call,
                                const Answer& response,
                                const HttpRequest& request,
                                const calls::CallSummary& summary) {
  this->call_log.LogCall(this->Now(), this->RequestIdOf(request), summary);
  this->callers->Respond(call, response);
}

// --- Other nodes. ---

void ProxyNode::SendVisit(NodeAddress to,
                          const VisitRequest& visit,
                          const calls::SharedRequest& request) {
  if (to == this->settings.node) {
    this->visit_origins[visit.attempt] = to;
    this->gate.OnVisit(this->Now(), to, visit, request);
    return;
  }
  this->links->SendVisit(to, visit, *request);
}

void ProxyNode::CancelVisit(NodeAddress to, const AttemptId& attempt) {
  if (to == this->settings.node) {
    this->gate.OnCancelled(this->Now(), attempt);
    return;
  }
  this->links->CancelVisit(to, attempt);
}

void ProxyNode::OnVisit(NodeAddress from,
                        VisitRequest visit,
                        HttpRequest request) {
  this->visit_origins[visit.attempt] = from;
  this->gate.OnVisit(this->Now(), from, visit,
                     std::make_shared<const HttpRequest>(std::move(request)));
  this->ArmWakeTimer();
}

void ProxyNode::OnVisitCancelled(AttemptId attempt) {
  this->gate.OnCancelled(this->Now(), attempt);
}

void ProxyNode::SendReply(NodeAddress to, VisitReply reply, Answer answer) {
  this->visit_origins.erase(reply.attempt);
  if (to == this->settings.node) {
    this->origin.OnReply(this->Now(), reply, answer);
    return;
  }
  this->links->SendReply(to, reply, answer);
}

void ProxyNode::OnReply(VisitReply reply, Answer answer) {
  ReserveReplyMemory(this->response_memory, reply, answer);
  this->origin.OnReply(this->Now(), reply, answer);
  this->ArmWakeTimer();
}

void ProxyNode::OnAttemptLost(AttemptId attempt, bool sent) {
  this->origin.OnAttemptLost(this->Now(), attempt, sent);
  this->ArmWakeTimer();
}

// --- The backend server. ---

void ProxyNode::StartExchange(calls::VisitNumber visit,
                              const calls::SharedRequest& request,
                              bool idempotent,
                              const std::string& instance,
                              Duration remaining) {
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
  HttpRequest copy = *request;
  copy.headers.push_back(
      {this->dialect.deadline,
       std::to_string(std::max<std::int64_t>(1, milliseconds))});
  copy.headers.push_back({this->dialect.expected_instance, instance});
  this->pool->Start({.visit = visit,
                     .bytes = http::WriteRequest(copy, {}),
                     .request_id = this->RequestIdOf(copy),
                     .is_head = copy.method == "HEAD",
                     .idempotent = idempotent});
}

void ProxyNode::AbortExchange(calls::VisitNumber visit) {
  this->pool->Abort(visit);
}

void ProxyNode::OnExchangeEnded(calls::VisitNumber visit,
                                calls::ExchangeResult end,
                                Answer answer) {
  this->gate.OnExchangeEnded(this->Now(), visit, end, std::move(answer));
  this->ArmWakeTimer();
}

void ProxyNode::OnBackendReachable(bool reachable) {
  Log(reachable ? LogEvent::kBackendUp : LogEvent::kBackendDown);
  if (!reachable) {
    const auto suspects =
        this->crashes.RecordLocalCrash(this->Now(), this->random.Next());
    Log(LogEvent::kSuspectRecorded,
        {{"requests", std::to_string(suspects.size())}});
    this->LogQuarantines();
  }
  this->gate.SetReachable(this->Now(), reachable);
  this->BroadcastOwnLoad();
}

void ProxyNode::LogQuarantines() {
  for (const auto fingerprint : this->crashes.TakeNewQuarantines()) {
    Log(LogEvent::kFingerprintQuarantined,
        {{"fingerprint", std::to_string(fingerprint)}});
  }
}

void ProxyNode::OnOtherInstance() {
  Log(LogEvent::kOtherInstance);
  this->pool->CloseIdle();
  this->local_entry.RecordOtherInstance();
  this->UpdateLocalEntry(/*is_authoritative=*/true);
}

void ProxyNode::OnBackendNotice(const calls::BackendNotice& notice) {
  const auto instance = this->gate.Entry() ? this->gate.Entry()->id : "-";
  Log(notice.has_invalid_rate_limit ? LogEvent::kBackendNoticeInvalid
                                    : LogEvent::kBackendNotice,
      {{"instance", instance},
       {"rate_limit",
        notice.rate_limit ? std::to_string(*notice.rate_limit) : "-"},
       {"leaving", notice.is_leaving ? "yes" : "no"}});
  if (notice.is_leaving) {
    this->BroadcastOwnLoad();
  }
}

void ProxyNode::ReportVisit(LogEvent event,
                            const HttpRequest& request,
                            decision::Reason reason,
                            Duration elapsed) {
  this->call_log.LogVisit(this->Now(), event, this->RequestIdOf(request),
                          reason, elapsed);
}

// --- Timers and planned stop. ---

void ProxyNode::ArmWakeTimer() {
  Instant next = Instant::max();
  for (const auto wake :
       {this->origin.NextWake(), this->gate.NextWake(this->Now())}) {
    next = wake ? std::min(next, *wake) : next;
  }
  if (next >= this->wake_time) {
    return;
  }
  this->wake_time = next;
  this->wake_timer.expires_after(std::max(Duration{}, next - this->Now()));
  this->wake_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->OnTick();
    }
  });
}

void ProxyNode::OnTick() {
  this->wake_time = Instant::max();
  const auto now = this->Now();
  this->gate.OnTick(now);
  this->origin.OnTick(now);
  this->ArmWakeTimer();
}

void ProxyNode::Tick() {
  this->OnTick();
  const auto now = this->Now();
  this->RecordOwnLoad();
  this->origin.UpdateAdmission(now);
  if (this->call_log.IsLoadDue(now)) {
    this->call_log.LogLoad(now, this->gate.Load(now),
                           this->origin.Admission().ThrottledRoutes());
  }
  if (auto& retries = this->origin.RetryBudget();
      this->call_log.IsRetryLogDue(now)) {
    this->call_log.LogRetries(now, retries.Uses(now), retries.FleetSize());
  }
  if (now >= this->next_quota_update) {
    this->next_quota_update = now + kQuotaUpdateInterval;
    this->UpdateQuotas(now);
  }
  if (now >= this->next_heartbeat) {
    this->SendHeartbeats();
  }
  if (now >= this->next_fleet_check) {
    this->next_fleet_check = now + kFleetCheckInterval;
    this->UpdateFleet();
  }
  this->UpdateReadingMode();
  this->LogRestore();
  this->UpdateKeysConfirmed(now);
  this->AdvancePlannedStop();
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void ProxyNode::Stop() {
  if (this->planned_stop.HasStarted()) {
    return;
  }
  Log(LogEvent::kStopping);
  this->planned_stop.Start(this->Now());
  this->callers->StartClosing();
}

void ProxyNode::AdvancePlannedStop() {
  const auto now = this->Now();
  if (!this->planned_stop.AcceptsRequests(now)) {
    this->origin.StopAcceptingCalls();
  }
  if (this->planned_stop.StartLeavingIfDue(now)) {
    this->gate.StartLeaving(now);
    this->BroadcastOwnLoad();
  }
  // A call and a visit end before their response is written.
  const bool is_idle = this->origin.CallsInFlight() == 0 &&
                       this->gate.VisitsInFlight() == 0 &&
                       !this->callers->HasUnfinishedRequests() &&
                       this->links->QueuedBytes() == 0;
  if (this->planned_stop.FinishIfDue(now, is_idle)) {
    this->callers->StopAccepting();
    this->origin.EndAllCalls(now);
    Log(LogEvent::kStopped);
    this->on_stopped();
  }
}

}  // namespace agaterun::proxy
