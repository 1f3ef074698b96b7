#include "libraries/proxy/proxy_node.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/http/message_writer.h"
#include "libraries/routing/route_table.h"

namespace agaterun::proxy {

namespace {

using decision::Answer;
using decision::AttemptId;
using decision::CallId;
using decision::VisitReply;
using decision::VisitRequest;

constexpr Duration kTickInterval = 50ms;
constexpr Duration kHeartbeatInterval = 300ms;
constexpr Duration kFleetCheckInterval = 1s;

// Time for which a connection to another node waits for it.
constexpr Duration kLinkTimeout = 1s;

}  // namespace

ProxyNode::ProxyNode(asio::io_context& io,
                     NodeSettings settings,
                     calls::Dialect dialect,
                     std::function<void()> on_stopped)
    : io(io),
      settings(std::move(settings)),
      dialect(std::move(dialect)),
      on_stopped(std::move(on_stopped)),
      // Zero stands for an incarnation that is not known.
      incarnation(this->random.Next() | 1),
      fleet({.self = this->settings.node,
             .node_port = this->settings.node.port,
             .failure_domain = this->settings.failure_domain}),
      gate({.service = this->settings.service},
           this->dialect,
           this->crashes,
           *this),
      origin({.self = this->settings.node,
              .incarnation = this->incarnation,
              .failure_domain = this->settings.failure_domain,
              .service = this->settings.service},
             this->dialect,
             this->crashes,
             this->fleet,
             this->random,
             *this),
      heartbeat_plan(this->settings.node, this->random),
      directory(this->settings.node),
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
  auto made = node::NodeLinks::Create(this->io,
                                      {.self = this->settings.node,
                                       .incarnation = this->incarnation,
                                       .connect_timeout = kLinkTimeout},
                                      *this);
  if (!made) {
    return tl::unexpected(made.error());
  }
  this->links = std::move(*made);
  this->pool = std::make_unique<EndpointPool>(
      this->io,
      EndpointPool::Options{.backend_server = *this->settings.backend_server,
                            .request_id_header = this->dialect.request_id},
      *this);
  this->callers = std::make_unique<HttpListener>(
      this->io,
      HttpListener::Options{
          .listen = this->settings.caller,
          .most_connections = this->settings.caller_connections},
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

std::unique_ptr<ProbeServer> ProxyNode::MakeProbeServer(NodeAddress listen) {
  return std::make_unique<ProbeServer>(
      this->io,
      ProbeServer::Options{.listen = listen,
                           .probe_path = this->dialect.probe_path},
      ProbeServer::Source{
          .is_ready = [this] { return this->IsReady(); },
          .metrics = [this] { return this->call_log.Metrics(); },
          .state = [this] { return this->State().ToJson(); }});
}

void ProxyNode::SetSettings(const NodeSettings& new_settings) {
  this->settings.service = new_settings.service;
  this->planned_stop.SetGrace(new_settings.stop_grace);
  this->gate.SetService(new_settings.service);
  this->origin.SetService(new_settings.service);
  this->origin.SetRepeats({.ratio = new_settings.repeat_ratio,
                           .extra = new_settings.repeat_extra,
                           .window = new_settings.repeat_window});
  this->FollowLocalEntry(/*is_own_word=*/false);
}

bool ProxyNode::IsReady() const {
  return !this->planned_stop.HasStarted() && this->spread.Version() > 0 &&
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
  // Callers and the backend server share an address; the id tells them apart.
  const auto parent = this->gate.FindParent(this->RequestIdOf(request));
  if (parent) {
    this->gate.CountNestedCall();
  }
  this->origin.OnRequest(this->Now(), call, std::move(request), parent);
  this->ArmWakeTimer();
}

void ProxyNode::OnCallerGone(CallId call) {
  this->origin.OnCallerGone(this->Now(), call);
}

void ProxyNode::NestedCallEnded(
    calls::VisitNumber parent,
    const std::vector<decision::ServiceCost>& costs) {
  this->gate.AddCosts(parent, costs);
}

void ProxyNode::AnswerCaller(CallId call,
                             const HttpResponse& response,
                             const HttpRequest& request,
                             const calls::CallSummary& summary) {
  this->call_log.NoteCall(this->Now(), this->RequestIdOf(request), summary);
  this->callers->Answer(call, response);
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
  this->origin.OnReply(this->Now(), reply, answer);
  this->ArmWakeTimer();
}

void ProxyNode::OnAttemptLost(AttemptId attempt, bool sent) {
  this->origin.OnAttemptLost(this->Now(), attempt, sent);
  this->ArmWakeTimer();
}

void ProxyNode::OnHeartbeat(decision::Heartbeat heartbeat) {
  this->fleet.TakeLoad(this->Now(), heartbeat.from, heartbeat.load);
  this->TakeDemand(heartbeat);
  for (const auto& crash : heartbeat.crashes) {
    this->crashes.NoteToldCrash(this->Now(), crash);
  }
  this->OnDigestSeen(heartbeat.from, heartbeat.state_digest);
  this->AskIfLater(heartbeat);
  if (heartbeat.wants_answer) {
    this->SendHeartbeat(
        {.node = heartbeat.from, .kind = membership::HeartbeatKind::kFar});
  }
}

void ProxyNode::TakeDemand(const decision::Heartbeat& heartbeat) {
  auto& others = this->origin.Admission().Others();
  const auto* sender = this->fleet.Find(heartbeat.from);
  if (sender != nullptr && this->fleet.IsNear(*sender)) {
    others.TakePart(this->Now(), heartbeat.from, heartbeat.demand);
  }
  for (const auto& sum : heartbeat.sums) {
    others.TakeSum(this->Now(), this->fleet.OwnDomain(), sum);
  }
}

void ProxyNode::OnDigestSeen(NodeAddress peer, std::uint64_t digest) {
  this->fleet.Heard(this->Now(), peer);
  if (digest > this->spread.Version()) {
    this->AskForState(peer);
  }
}

void ProxyNode::AskIfLater(const decision::Heartbeat& heartbeat) {
  const auto now = this->Now();
  const auto* sender = this->fleet.Find(heartbeat.from);
  if (sender != nullptr && !this->fleet.IsNear(*sender)) {
    return;
  }
  this->directory.TakeHeartbeat(
      now, heartbeat, heartbeat.state_digest == this->spread.Version());
  if (this->directory.ShouldAsk(now, heartbeat)) {
    this->AskForState(heartbeat.from);
  }
}

void ProxyNode::AskForState(NodeAddress peer) {
  if (this->spread.ShouldAsk(this->Now(), peer)) {
    this->links->RequestTicketItems(
        peer, this->spread.Known(this->directory.AskSince(this->Now())));
  }
}

void ProxyNode::OnTicketItemsWanted(
    NodeAddress from,
    std::vector<decision::TicketItemVersion> have) {
  this->links->SendTicketItems(
      from, this->spread.Items(have, this->directory.Endpoints()));
}

void ProxyNode::OnTicketItems(NodeAddress /*from*/,
                              std::vector<decision::TicketItemText> items) {
  if (const auto* item = membership::StateSpread::FindConfiguration(items);
      item != nullptr && item->number > this->spread.Version()) {
    auto configuration = this->source->DecodeConfiguration(item->text);
    if (configuration) {
      this->OnConfiguration(std::make_shared<const routing::Configuration>(
                                *std::move(configuration)),
                            item->text);
    } else {
      this->OnConfigurationUnreadable(configuration.error().message);
    }
  }
  if (const auto changes = membership::StateSpread::ReadEndpoints(items);
      changes && this->directory.TakeTold(*changes)) {
    this->TakeEndpoints();
  }
}

// --- The platform. ---

void ProxyNode::OnConfiguration(
    std::shared_ptr<const routing::Configuration> configuration,
    std::string text) {
  if (configuration->version <= this->spread.Version()) {
    return;
  }
  Log(LogEvent::kConfigurationInForce,
      {{"version", std::to_string(configuration->version)},
       {"routes", std::to_string(configuration->routes.size())}});
  this->spread.SetConfiguration(configuration->version, std::move(text));
  this->links->SetStateDigest(configuration->version);
  const auto& limits = configuration->limits;
  this->callers->SetLimits(
      {.header_bytes = limits.header_bytes, .body_bytes = limits.body_bytes},
      limits.header_timeout, limits.idle_timeout);
  this->origin.SetRoutes(
      std::make_shared<const routing::RouteTable>(std::move(configuration)));
}

void ProxyNode::OnEndpointList(membership::EndpointList list) {
  if (this->directory.TakeList(this->Now(), list)) {
    this->TakeEndpoints();
  }
}

void ProxyNode::OnEndpointChanges(membership::EndpointChanges changes) {
  if (this->directory.TakeChanges(this->Now(), changes)) {
    this->TakeEndpoints();
  }
}

void ProxyNode::OnLocalEndpoint(membership::LocalEndpoint endpoint) {
  if (this->directory.TakeLocal(endpoint)) {
    this->TakeEndpoints();
  }
  this->FollowLocalEntry(/*is_own_word=*/true);
}

void ProxyNode::TakeEndpoints() {
  const auto entries = this->directory.Endpoints().Entries();
  this->fleet.SetList(this->Now(), entries);
  this->origin.SetFleetSize(static_cast<int>(entries.size()));
  const bool reads = this->directory.Reading(this->Now()) ==
                     decision::PlatformReading::kFollows;
  this->FollowLocalEntry(/*is_own_word=*/reads);
  if (reads) {
    // Others learn it from this node alone.
    this->SendHeartbeats();
  }
}

void ProxyNode::FollowReadingMode() {
  const auto mode = this->directory.Update(this->Now(), this->fleet);
  if (mode == this->reading_mode) {
    return;
  }
  this->reading_mode = mode;
  const auto age = this->directory.Age(this->Now());
  Log(LogEvent::kReadingModeChanged,
      {{"mode", std::string(NameOf(membership::kReadingModeNames, mode))},
       {"age_ms", age ? std::to_string(*age / 1ms) : "unknown"},
       {"revision",
        std::to_string(this->directory.Endpoints().CompleteRevision())}});
  this->source->SetMode(mode);
}

void ProxyNode::FollowLocalEntry(bool is_own_word) {
  if (!this->source) {
    return;
  }
  auto listed = this->fleet.EntryAt(*this->settings.backend_server);
  if (listed && listed->service != this->settings.service) {
    listed.reset();
  }
  auto entry = this->local_entry.Take(std::move(listed), is_own_word);
  this->directory.SetOwnEntryInDoubt(this->local_entry.IsInDoubt());
  this->source->WatchLocalEndpoint(entry ? entry->id : "");
  this->SetLocalEntry(std::move(entry));
}

void ProxyNode::SetLocalEntry(std::optional<membership::EndpointEntry> entry) {
  const auto& known = this->gate.Entry();
  const bool is_new = entry && (!known || known->id != entry->id ||
                                known->started_at != entry->started_at ||
                                known->leaving != entry->leaving);
  if (is_new) {
    Log(LogEvent::kBackendListed,
        {{"instance", entry->id},
         {"state", entry->leaving ? "leaving" : "ready"},
         {"slots", std::to_string(entry->slots)}});
  } else if (!entry && known) {
    Log(LogEvent::kBackendUnlisted, {{"instance", known->id}});
  }
  const bool other_life =
      entry && known &&
      (known->id != entry->id || known->started_at != entry->started_at);
  if (other_life) {
    this->pool->CloseIdle();
  }
  const bool changes = is_new || entry.has_value() != known.has_value();
  this->gate.SetEntry(this->Now(), std::move(entry));
  if (changes) {
    this->TellOwnLoad();
  } else {
    this->TakeOwnLoad();
  }
}

void ProxyNode::OnConfigurationUnreadable(std::string why) {
  Log(LogEvent::kConfigurationRefused, {{"why", why}});
}

void ProxyNode::OnPlatformReached(bool reached, std::string why) {
  this->directory.SetReached(this->Now(), reached);
  if (this->platform_reached == reached) {
    return;
  }
  this->platform_reached = reached;
  Log(reached ? LogEvent::kPlatformReached : LogEvent::kPlatformUnreachable,
      {{"why", why}});
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
                                calls::ExchangeEnd end,
                                Answer answer) {
  this->gate.OnExchangeEnded(this->Now(), visit, end, std::move(answer));
  this->ArmWakeTimer();
}

void ProxyNode::OnBackendReachable(bool reachable) {
  Log(reachable ? LogEvent::kBackendUp : LogEvent::kBackendDown);
  if (!reachable) {
    const auto there =
        this->crashes.NoteCrash(this->Now(), this->random.Next());
    Log(LogEvent::kSuspectRecorded,
        {{"requests", std::to_string(there.size())}});
  }
  this->gate.SetReachable(this->Now(), reachable);
  this->TellOwnLoad();
}

void ProxyNode::OnOtherInstance() {
  Log(LogEvent::kOtherInstance);
  this->pool->CloseIdle();
  this->local_entry.NoteOtherInstance();
  this->FollowLocalEntry(/*is_own_word=*/true);
}

void ProxyNode::ReportVisit(LogEvent event,
                            const HttpRequest& request,
                            decision::Reason reason,
                            Duration elapsed) {
  this->call_log.NoteVisit(this->Now(), event, this->RequestIdOf(request),
                           reason, elapsed);
}

// --- Time. ---

void ProxyNode::ArmWakeTimer() {
  Instant next = Instant::max();
  for (const auto wake : {this->origin.NextWake(), this->gate.NextWake()}) {
    next = wake ? std::min(next, *wake) : next;
  }
  if (next >= this->armed_for) {
    return;
  }
  this->armed_for = next;
  this->wake_timer.expires_after(std::max(Duration{}, next - this->Now()));
  this->wake_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->OnTick();
    }
  });
}

void ProxyNode::OnTick() {
  this->armed_for = Instant::max();
  const auto now = this->Now();
  this->gate.OnTick(now);
  this->origin.OnTick(now);
  this->ArmWakeTimer();
}

void ProxyNode::Tick() {
  this->OnTick();
  const auto now = this->Now();
  this->TakeOwnLoad();
  this->origin.UpdateAdmission(now);
  if (this->call_log.IsLoadDue(now)) {
    this->call_log.NoteLoad(now, this->gate.Load(now),
                            this->origin.Admission().HeldBackRoutes());
  }
  if (now >= this->next_heartbeat) {
    this->SendHeartbeats();
  }
  if (now >= this->next_fleet_check) {
    // Nodes that are no longer listed are forgotten once they fall silent.
    this->next_fleet_check = now + kFleetCheckInterval;
    this->fleet.SetList(now, this->directory.Endpoints().Entries());
  }
  this->FollowReadingMode();
  this->FollowPlannedStop();
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void ProxyNode::TakeOwnLoad() {
  const auto now = this->Now();
  this->fleet.TakeLoad(now, this->settings.node, this->gate.Load(now));
}

void ProxyNode::TellOwnLoad() {
  this->TakeOwnLoad();
  this->SendHeartbeats();
}

void ProxyNode::SendHeartbeats() {
  this->next_heartbeat = this->Now() + kHeartbeatInterval;
  std::vector<NodeAddress> waiting;
  for (const auto& [attempt, from] : this->visit_origins) {
    waiting.push_back(from);
  }
  for (const auto& target :
       this->heartbeat_plan.Next(this->Now(), this->fleet, waiting)) {
    this->SendHeartbeat(target);
  }
}

void ProxyNode::SendHeartbeat(const membership::HeartbeatTarget& target) {
  const auto now = this->Now();
  decision::Heartbeat heartbeat{.from = this->settings.node,
                                .incarnation = this->incarnation,
                                .state_digest = this->spread.Version(),
                                .load = this->gate.Load(now),
                                .crashes = this->crashes.ToTell(now),
                                .wants_answer = target.wants_answer};
  this->directory.Tell(now, heartbeat);
  auto& admission = this->origin.Admission();
  const auto& domain = this->fleet.OwnDomain();
  switch (target.kind) {
    case membership::HeartbeatKind::kFar:
      break;
    case membership::HeartbeatKind::kSpeaker:
      heartbeat.sums = {
          admission.Others().OwnDomain(now, domain, admission.OwnDemand(now))};
      break;
    case membership::HeartbeatKind::kNear:
      heartbeat.demand = admission::ToldDemand(admission.OwnDemand(now));
      heartbeat.sums = this->SumsForNear(now);
      break;
  }
  this->links->SendHeartbeat(target.node, heartbeat);
}

std::vector<decision::DemandSum> ProxyNode::SumsForNear(Instant now) {
  auto& admission = this->origin.Admission();
  const bool is_speaker = this->fleet.IsSpeaker(now, this->settings.node);
  const bool is_large = !this->fleet.HearsAllNear();
  std::vector<decision::DemandSum> sums;
  if (!is_speaker && !is_large) {
    return sums;
  }
  // In a large domain each node passes on what it heard.
  if (auto sum = admission.Others().Elsewhere(now); sum.nodes > 0) {
    sums.push_back(std::move(sum));
  }
  if (is_large) {
    auto sum = is_speaker
                   ? admission.Others().OwnDomain(now, this->fleet.OwnDomain(),
                                                  admission.OwnDemand(now))
                   : admission.Others().NearSum(now);
    if (sum.nodes > 0) {
      sums.push_back(std::move(sum));
    }
  }
  return sums;
}

void ProxyNode::Stop() {
  if (this->planned_stop.HasStarted()) {
    return;
  }
  Log(LogEvent::kStopping);
  this->planned_stop.Start(this->Now());
  this->callers->StartClosing();
}

void ProxyNode::FollowPlannedStop() {
  const auto now = this->Now();
  if (!this->planned_stop.TakesRequests(now)) {
    this->origin.StopTaking();
  }
  if (this->planned_stop.TakeLeaving(now)) {
    this->gate.StartLeaving(now);
    this->TellOwnLoad();
  }
  const bool is_idle =
      this->origin.CallsInFlight() == 0 && this->gate.VisitsInFlight() == 0;
  if (this->planned_stop.TakeEnd(now, is_idle)) {
    this->callers->StopAccepting();
    Log(LogEvent::kStopped);
    this->on_stopped();
  }
}

NodeState ProxyNode::State() const {
  return {.configuration = this->spread.Version(),
          .endpoint_list = this->directory.Endpoints().CompleteRevision(),
          .reading_mode = this->reading_mode,
          .platform_reached = this->platform_reached.value_or(false),
          .stopping = this->planned_stop.HasStarted(),
          .calls_in_flight = this->origin.CallsInFlight(),
          .service = this->gate.Service(),
          .instance = this->gate.Entry() ? this->gate.Entry()->id : "",
          .load = this->gate.Load(this->Now()),
          .connections_made = this->pool->ConnectionsMade(),
          .nodes = this->fleet.All()};
}

}  // namespace agaterun::proxy
