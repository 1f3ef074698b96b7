#include <utility>

#include "libraries/proxy/proxy_node.h"

// The part of ProxyNode that exchanges state with other nodes: load, demand,
// and the configuration and endpoints published by the platform.
namespace agaterun::proxy {

namespace {

constexpr Duration kHeartbeatInterval = 300ms;

}  // namespace

bool ProxyNode::IsInOwnDomain(NodeAddress node) const {
  const auto& nodes = this->fleet.All();
  const auto known = nodes.find(node);
  return known != nodes.end() && this->fleet.IsInOwnDomain(known->second);
}

void ProxyNode::OnHeartbeat(decision::Heartbeat heartbeat) {
  this->fleet.RecordLoad(this->Now(), heartbeat.from, heartbeat.load);
  this->RecordDemand(heartbeat);
  for (const auto& crash : heartbeat.crashes) {
    this->crashes.RecordReportedCrash(this->Now(), heartbeat.from, crash);
  }
  for (const auto& [fingerprint, remaining] : heartbeat.quarantined) {
    if (remaining == Duration{}) {
      this->crashes.RecordCompletion(this->Now(), fingerprint);
    } else {
      this->crashes.RecordReportedConviction(this->Now(), fingerprint,
                                             remaining);
    }
  }
  this->LogQuarantines();
  this->OnDigestReceived(heartbeat.from, heartbeat.state_digest);
  this->RequestNewerState(heartbeat);
  if (heartbeat.wants_reply) {
    this->heartbeat_demand.clear();
    this->SendHeartbeat(
        {.node = heartbeat.from,
         .kind = this->IsInOwnDomain(heartbeat.from)
                     ? membership::HeartbeatKind::kSameDomain
                     : membership::HeartbeatKind::kOtherDomain});
  }
}

void ProxyNode::RecordDemand(const decision::Heartbeat& heartbeat) {
  auto& peer_demand = this->origin.Admission().PeerDemand();
  if (this->IsInOwnDomain(heartbeat.from)) {
    peer_demand.RecordNodeDemand(this->Now(), heartbeat.from, heartbeat.demand);
    this->peer_account_use.RecordNodeDemand(this->Now(), heartbeat.from,
                                            heartbeat.account_use);
  }
  const auto* sender = this->fleet.Find(heartbeat.from);
  if (sender != nullptr && sender->service == this->gate.Service()) {
    this->gate.Times().UpdateFromPeer(this->Now(), heartbeat.from,
                                      heartbeat.route_times);
  }
  for (const auto& aggregate : heartbeat.demand_aggregates) {
    peer_demand.RecordAggregate(this->Now(), this->fleet.OwnDomain(),
                                aggregate);
  }
  for (const auto& aggregate : heartbeat.account_aggregates) {
    this->peer_account_use.RecordAggregate(this->Now(), this->fleet.OwnDomain(),
                                           aggregate);
  }
}

void ProxyNode::UpdateQuotas(Instant now) {
  auto& quotas = this->origin.Quotas();
  quotas.Update(now, this->peer_account_use.Total(now, quotas.LocalUse(now)),
                {.reporting = this->peer_account_use.ReportingNodes(now),
                 .listed = static_cast<int>(this->fleet.List().size())});
}

void ProxyNode::OnDigestReceived(NodeAddress peer, std::uint64_t digest) {
  this->fleet.Received(this->Now(), peer);
  if (digest > this->gossip.Version()) {
    this->RequestState(peer);
  }
}

void ProxyNode::RequestNewerState(const decision::Heartbeat& heartbeat) {
  const auto now = this->Now();
  const auto* sender = this->fleet.Find(heartbeat.from);
  if (sender != nullptr && !this->fleet.IsInOwnDomain(*sender)) {
    return;
  }
  this->directory.ProcessHeartbeat(
      now, heartbeat, heartbeat.state_digest == this->gossip.Version());
  if (this->directory.ShouldQuery(now, heartbeat)) {
    this->RequestState(heartbeat.from);
  }
}

void ProxyNode::RequestState(NodeAddress peer) {
  if (this->gossip.ShouldQuery(this->Now(), peer)) {
    this->links->RequestTicketItems(
        peer,
        this->gossip.Known(this->directory.QuerySinceRevision(this->Now())));
  }
}

void ProxyNode::OnTicketItemsRequested(
    NodeAddress from,
    std::vector<decision::TicketItemVersion> have) {
  this->links->SendTicketItems(
      from, this->gossip.Items(have, this->directory.Endpoints()));
}

void ProxyNode::OnTicketItems(NodeAddress /*from*/,
                              std::vector<decision::TicketItemText> items) {
  if (const auto* item = membership::StateGossip::FindConfiguration(items);
      item != nullptr && item->number > this->gossip.Version()) {
    auto configuration = this->source->DecodeConfiguration(item->text);
    if (configuration) {
      this->OnConfiguration(std::make_shared<const routing::Configuration>(
                                *std::move(configuration)),
                            item->text);
    } else {
      this->OnMalformedConfiguration(configuration.error().message);
    }
  }
  if (const auto changes = membership::StateGossip::ReadEndpoints(items);
      changes && this->directory.UpdateFromPeer(this->Now(), *changes)) {
    this->ApplyEndpoints();
  }
}

void ProxyNode::RecordOwnLoad() {
  const auto now = this->Now();
  this->fleet.RecordLoad(now, this->settings.node, this->gate.Load(now));
}

void ProxyNode::BroadcastOwnLoad() {
  this->RecordOwnLoad();
  this->SendHeartbeats();
}

void ProxyNode::SendHeartbeats() {
  this->next_heartbeat = this->Now() + kHeartbeatInterval;
  std::vector<NodeAddress> waiting_origins;
  for (const auto& [attempt, from] : this->visit_origins) {
    waiting_origins.push_back(from);
  }
  this->heartbeat_demand.clear();
  for (const auto& target :
       this->heartbeat_plan.Next(this->Now(), this->fleet, waiting_origins)) {
    this->SendHeartbeat(target);
  }
}

void ProxyNode::SendHeartbeat(const membership::HeartbeatTarget& target) {
  const auto now = this->Now();
  decision::Heartbeat heartbeat{.from = this->settings.node,
                                .incarnation = this->incarnation,
                                .state_digest = this->gossip.Version(),
                                .load = this->gate.Load(now),
                                .crashes = this->crashes.HeartbeatEntries(now),
                                .wants_reply = target.wants_reply};
  for (const auto fingerprint : this->crashes.ClearedRequests(now)) {
    heartbeat.quarantined.emplace_back(fingerprint, Duration{});
  }
  for (const auto& [fingerprint, remaining] : this->crashes.Convictions(now)) {
    heartbeat.quarantined.emplace_back(fingerprint, remaining);
  }
  this->directory.FillHeartbeat(now, heartbeat);
  const auto* receiver = this->fleet.Find(target.node);
  if (receiver != nullptr && receiver->service == this->gate.Service()) {
    heartbeat.route_times = this->gate.Times().HeartbeatEntries(now);
  }
  const auto& demand = this->HeartbeatDemandFor(now, target.kind);
  heartbeat.demand = demand.demand;
  heartbeat.demand_aggregates = demand.demand_aggregates;
  heartbeat.account_use = demand.account_use;
  heartbeat.account_aggregates = demand.account_aggregates;
  this->links->SendHeartbeat(target.node, heartbeat);
}

const ProxyNode::HeartbeatDemand& ProxyNode::HeartbeatDemandFor(
    Instant now,
    membership::HeartbeatKind kind) {
  const auto [entry, is_new] = this->heartbeat_demand.try_emplace(kind);
  if (is_new && kind != membership::HeartbeatKind::kOtherDomain) {
    entry->second = this->MakeHeartbeatDemand(now, kind);
  }
  return entry->second;
}

ProxyNode::HeartbeatDemand ProxyNode::MakeHeartbeatDemand(
    Instant now,
    membership::HeartbeatKind kind) {
  auto& admission = this->origin.Admission();
  const auto& domain = this->fleet.OwnDomain();
  const auto local_demand = admission.LocalDemand(now);
  const auto local_use = this->origin.Quotas().LocalUse(now);
  if (kind == membership::HeartbeatKind::kAggregator) {
    return {.demand_aggregates = {admission.PeerDemand().OwnDomain(
                now, domain, local_demand)},
            .account_aggregates = {
                this->peer_account_use.OwnDomain(now, domain, local_use)}};
  }
  return {.demand = admission::HighestRates(local_demand),
          .demand_aggregates = this->AggregatesForOwnDomain(
              now, admission.PeerDemand(), local_demand),
          .account_use = admission::HighestRates(
              local_use, accounts::kMaxReportedAccounts),
          .account_aggregates = this->AggregatesForOwnDomain(
              now, this->peer_account_use, local_use)};
}

std::vector<decision::AggregateDemand> ProxyNode::AggregatesForOwnDomain(
    Instant now,
    const admission::FleetDemand& peer_demand,
    const admission::Demand& local_demand) {
  const bool is_aggregator = this->fleet.IsAggregator(now, this->settings.node);
  const bool forwards_aggregates = !this->fleet.IsDomainFullMesh();
  std::vector<decision::AggregateDemand> aggregates;
  if (!is_aggregator && !forwards_aggregates) {
    return aggregates;
  }
  // In a large failure domain, heartbeats don't reach every node directly, so
  // each node forwards the aggregates that it has received.
  if (auto aggregate = peer_demand.OtherDomainsDemand(now);
      aggregate.nodes > 0) {
    aggregates.push_back(std::move(aggregate));
  }
  if (forwards_aggregates) {
    auto aggregate =
        is_aggregator
            ? peer_demand.OwnDomain(now, this->fleet.OwnDomain(), local_demand)
            : peer_demand.ReportedOwnDomain(now);
    if (aggregate.nodes > 0) {
      aggregates.push_back(std::move(aggregate));
    }
  }
  return aggregates;
}

}  // namespace agaterun::proxy
