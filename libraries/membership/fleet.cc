#include "libraries/membership/fleet.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "libraries/base/node_hash.h"

namespace agaterun::membership {

namespace {

// An unlisted node is kept until no message was received for this long.
constexpr Duration kUnlistedNodeTimeout = 1500ms;

// A node with attempts in flight is unresponsive when no message was received
// for this long. Several heartbeats are due in this time.
constexpr Duration kUnresponsiveTimeout = 1s;

// Up to these numbers of nodes, each node receives the heartbeats of all others
// in its failure domain, and in the whole fleet.
constexpr std::size_t kSmallDomainMaxNodes = 48;
constexpr std::size_t kSmallFleetMaxNodes = 24;

// Four heartbeat intervals within a failure domain, three and a half for nodes
// of other failure domains.
constexpr Duration kMaxMessageGapInDomain = 1200ms;
constexpr Duration kMaxMessageGapOtherDomains = 2100ms;
constexpr Duration kMaxMessageGapInLargeFleet = 10s;

constexpr std::size_t kAggregatorsPerDomain = 2;

// Maximum number of leaving backend servers to remember. Each address is
// remembered until the next backend server starts there.
constexpr std::size_t kMaxStatedLeaving = 4096;

// Weight of the latest reply in the moving average of failures.
constexpr double kFailureWeight = 0.08;

// Attempts that end together when a connection breaks count as one loss.
constexpr Duration kLossMergeWindow = 20ms;

}  // namespace

std::uint64_t RankOf(NodeAddress node, NodeAddress other) {
  return NodeHash(other, NodeHash(node));
}

FleetNode& Fleet::FindOrAdd(NodeAddress node) {
  auto& entry = this->nodes[node];
  entry.node = node;
  return entry;
}

FleetNode* Fleet::Find(NodeAddress node) {
  const auto found = this->nodes.find(node);
  return found == this->nodes.end() ? nullptr : &found->second;
}

bool Fleet::SetNamedServices(std::set<std::string, std::less<>> services) {
  const bool is_changed = services != this->named_services;
  this->named_services = std::move(services);
  return is_changed;
}

bool Fleet::IsUsable(const EndpointEntry& entry) const {
  // A backend server whose service the configuration doesn't name, or not yet,
  // is known by its port.
  return this->IsNamed(entry.service) ||
         entry.address.port == this->options.backend_port;
}

bool Fleet::TakesPrecedence(const EndpointEntry& entry,
                            std::string_view other_service,
                            std::uint64_t other_started_at) const {
  if (this->IsNamed(entry.service) != this->IsNamed(other_service)) {
    return this->IsNamed(entry.service);
  }
  return entry.started_at >= other_started_at;
}

void Fleet::SetList(Instant now, const std::vector<EndpointEntry>& entries) {
  this->list = entries;
  std::erase_if(this->list,
                [&](const auto& entry) { return !this->IsUsable(entry); });
  for (auto& [address, node] : this->nodes) {
    node.listed = false;
  }
  for (const auto& entry : this->list) {
    auto& node = this->FindOrAdd(this->NodeOf(entry));
    // Of several entries of one host, only one is in use.
    if (node.listed &&
        !this->TakesPrecedence(entry, node.service, node.started_at)) {
      continue;
    }
    if (node.service != entry.service) {
      node.load = {};
      node.load_reported_at.reset();
    }
    node.service = entry.service;
    node.failure_domain = entry.failure_domain;
    node.slots = entry.slots;
    node.listed = true;
    node.listed_as_leaving = entry.leaving;
    if (node.started_at != entry.started_at) {
      node.failure_share = 0;
      node.warmup_until = now + entry.warmup_remaining;
    }
    node.started_at = entry.started_at;
    node.instance = entry.id;
    this->ApplyStatedLeaving(node);
  }
  this->RemoveUnlistedNodes(now);
  this->by_service.clear();
  for (const auto& [address, node] : this->nodes) {
    this->by_service[node.service].push_back(address);
  }
  for (auto& [service, addresses] : this->by_service) {
    std::sort(addresses.begin(), addresses.end());
  }
  this->own_domain_nodes.clear();
  for (const auto& [address, node] : this->nodes) {
    if (this->IsInOwnDomain(node)) {
      this->own_domain_nodes.push_back(address);
    }
  }
  std::sort(this->own_domain_nodes.begin(), this->own_domain_nodes.end());
}

void Fleet::RecordStatedLeaving(NodeAddress address) {
  auto& node = this->FindOrAdd(address);
  if (this->stated_leaving.size() >= kMaxStatedLeaving) {
    // The one that started first is the most likely to be gone.
    this->stated_leaving.erase(std::min_element(
        this->stated_leaving.begin(), this->stated_leaving.end(),
        [](const auto& left, const auto& right) {
          return left.second.started_at < right.second.started_at;
        }));
  }
  this->stated_leaving[address] = {.instance = node.instance,
                                   .started_at = node.started_at};
  node.stated_leaving = true;
}

void Fleet::ApplyStatedLeaving(FleetNode& node) {
  const auto stated = this->stated_leaving.find(node.node);
  if (stated == this->stated_leaving.end()) {
    node.stated_leaving = false;
    return;
  }
  // An entry that is older than the statement says nothing about it.
  const auto& leaving = stated->second;
  const bool is_later = node.started_at > leaving.started_at ||
                        (node.started_at == leaving.started_at &&
                         node.instance != leaving.instance);
  if (is_later) {
    this->stated_leaving.erase(stated);
  }
  node.stated_leaving = !is_later;
}

void Fleet::RemoveUnlistedNodes(Instant now) {
  std::erase_if(this->nodes, [&](const auto& item) {
    const auto& node = item.second;
    return !node.listed && node.in_flight == 0 &&
           (!node.last_contact ||
            now - *node.last_contact > kUnlistedNodeTimeout);
  });
}

std::optional<EndpointEntry> Fleet::EntryAt(NodeAddress address) const {
  std::optional<EndpointEntry> used;
  for (const auto& entry : this->list) {
    if (entry.address == address &&
        (!used ||
         this->TakesPrecedence(entry, used->service, used->started_at))) {
      used = entry;
    }
  }
  return used;
}

std::vector<FleetNode*> Fleet::NodesOf(std::string_view service) {
  std::vector<FleetNode*> found;
  const auto addresses = this->by_service.find(service);
  if (addresses == this->by_service.end()) {
    return found;
  }
  for (const auto address : addresses->second) {
    if (auto* node = this->Find(address); node != nullptr) {
      found.push_back(node);
    }
  }
  return found;
}

std::vector<NodeAddress> Fleet::ListedNodesOf(std::string_view service) const {
  std::vector<NodeAddress> listed;
  for (const auto& [address, node] : this->nodes) {
    if (node.listed && node.service == service) {
      listed.push_back(address);
    }
  }
  return listed;
}

std::vector<std::string> Fleet::Services() const {
  std::vector<std::string> services;
  for (const auto& [service, addresses] : this->by_service) {
    services.push_back(service);
  }
  return services;
}

void Fleet::Received(Instant now, NodeAddress address) {
  auto* node = this->Find(address);
  if (node == nullptr) {
    return;
  }
  node->last_contact = now;
  node->waiting_since = now;
}

void Fleet::RecordLoad(Instant now,
                       NodeAddress address,
                       const decision::LoadReport& load) {
  auto* node = this->Find(address);
  if (node == nullptr) {
    return;
  }
  this->Received(now, address);
  node->load = load;
  node->load_reported_at = now;
  node->sent_since_report = 0;
}

void Fleet::AttemptSent(Instant now, NodeAddress address) {
  auto& node = this->FindOrAdd(address);
  if (node.in_flight == 0) {
    node.waiting_since = now;
  }
  ++node.in_flight;
  ++node.sent_since_report;
}

void Fleet::AttemptReplied(Instant now, NodeAddress address, bool failed) {
  auto& node = this->FindOrAdd(address);
  node.in_flight = std::max(0, node.in_flight - 1);
  node.losses = 0;
  node.failure_share +=
      ((failed ? 1.0 : 0.0) - node.failure_share) * kFailureWeight;
  node.failure_share_updated_at = now;
  this->Received(now, address);
}

void Fleet::AttemptEnded(Instant now,
                         NodeAddress address,
                         bool is_unresponsive) {
  auto& node = this->FindOrAdd(address);
  node.in_flight = std::max(0, node.in_flight - 1);
  if (!is_unresponsive) {
    return;
  }
  if (node.losses == 0 || now - node.last_loss > kLossMergeWindow) {
    ++node.losses;
    node.last_loss = now;
  }
}

bool Fleet::IsDomainFullMesh() const {
  return this->own_domain_nodes.size() <= kSmallDomainMaxNodes;
}

bool Fleet::IsSmallFleet() const {
  return this->nodes.size() <= kSmallFleetMaxNodes;
}

Duration Fleet::ContactTimeout(const FleetNode& node) const {
  if (this->IsInOwnDomain(node)) {
    return this->IsDomainFullMesh() ? kMaxMessageGapInDomain
                                    : kMaxMessageGapInLargeFleet;
  }
  return this->IsSmallFleet() ? kMaxMessageGapOtherDomains
                              : kMaxMessageGapInLargeFleet;
}

std::vector<std::string> Fleet::OtherDomains() const {
  std::set<std::string> domains;
  for (const auto& [address, node] : this->nodes) {
    if (node.listed && !this->IsInOwnDomain(node)) {
      domains.insert(node.failure_domain);
    }
  }
  return {domains.begin(), domains.end()};
}

bool Fleet::MayAggregate(Instant now, const FleetNode& node) const {
  if (node.node == this->options.self) {
    return true;
  }
  return node.listed && node.HasContactSinceLoss() && !node.load.leaving &&
         (!node.last_contact ||
          now - *node.last_contact < this->ContactTimeout(node));
}

std::vector<NodeAddress> Fleet::Aggregators(Instant now,
                                            std::string_view domain) const {
  std::vector<NodeAddress> aggregators;
  for (const auto& [address, node] : this->nodes) {
    if (node.failure_domain == domain && this->MayAggregate(now, node)) {
      aggregators.push_back(address);
    }
  }
  std::sort(aggregators.begin(), aggregators.end(), [](auto left, auto right) {
    return NodeHash(left) < NodeHash(right);
  });
  aggregators.resize(std::min(aggregators.size(), kAggregatorsPerDomain));
  return aggregators;
}

bool Fleet::IsAggregator(Instant now, NodeAddress node) const {
  const auto aggregators = this->Aggregators(now, this->options.failure_domain);
  return std::find(aggregators.begin(), aggregators.end(), node) !=
         aggregators.end();
}

std::vector<NodeAddress> Fleet::UnresponsiveNodes(Instant now) const {
  std::vector<NodeAddress> unresponsive;
  for (const auto& [address, node] : this->nodes) {
    if (node.in_flight > 0 && address != this->options.self &&
        now - node.waiting_since > kUnresponsiveTimeout) {
      unresponsive.push_back(address);
    }
  }
  return unresponsive;
}

}  // namespace agaterun::membership
