#include "libraries/membership/heartbeat_plan.h"

#include <algorithm>
#include <map>
#include <utility>

namespace agaterun::membership {

namespace {

// Number of nodes of a large failure domain that receive each heartbeat.
constexpr std::size_t kOwnDomainTargets = 12;

// Nodes of other failure domains receive every second heartbeat.
constexpr int kRoundsPerOtherDomainHeartbeat = 2;

// In a large fleet, the number of endpoints per service in other failure
// domains that a node sends heartbeats to.
constexpr std::size_t kOtherDomainTargetsPerService = 3;

// Maximum number of lost nodes probed for recovery per heartbeat interval.
constexpr std::size_t kMaxLostNodesProbed = 8;

}  // namespace

void HeartbeatPlan::AddOwnDomainNodes(Instant now,
                                      const Fleet& fleet,
                                      std::vector<HeartbeatTarget>& targets) {
  auto nodes = fleet.NodesOfOwnDomain();
  std::erase(nodes, this->self);
  if (!fleet.IsDomainFullMesh()) {
    for (std::size_t drawn = 0; drawn < kOwnDomainTargets; ++drawn) {
      std::swap(nodes[drawn],
                nodes[drawn + this->random.Below(nodes.size() - drawn)]);
    }
    nodes.resize(kOwnDomainTargets);
    // The aggregators need the heartbeats of all nodes to add up their demand.
    const auto aggregators = fleet.Aggregators(now, fleet.OwnDomain());
    nodes.insert(nodes.end(), aggregators.begin(), aggregators.end());
  }
  for (const auto node : nodes) {
    targets.push_back({.node = node, .kind = HeartbeatKind::kSameDomain});
  }
}

void HeartbeatPlan::AddOtherDomainNodes(const Fleet& fleet,
                                        std::vector<HeartbeatTarget>& targets) {
  std::map<std::string_view, std::vector<NodeAddress>> by_service;
  for (const auto& [address, node] : fleet.All()) {
    if (!fleet.IsInOwnDomain(node) && node.listed) {
      by_service[node.service].push_back(address);
    }
  }
  for (auto& [service, nodes] : by_service) {
    if (!fleet.IsSmallFleet() && nodes.size() > kOtherDomainTargetsPerService) {
      // The order differs between nodes, so that the heartbeats are distributed
      // evenly over the endpoints.
      std::sort(nodes.begin(), nodes.end(), [this](auto left, auto right) {
        return RankOf(this->self, left) < RankOf(this->self, right);
      });
      nodes.resize(kOtherDomainTargetsPerService);
    }
    for (const auto node : nodes) {
      targets.push_back({.node = node,
                         .kind = HeartbeatKind::kOtherDomain,
                         .wants_reply = !fleet.IsSmallFleet()});
    }
  }
}

void HeartbeatPlan::AddLostNodes(const Fleet& fleet,
                                 std::vector<HeartbeatTarget>& targets) {
  std::vector<NodeAddress> lost;
  for (const auto& [address, node] : fleet.All()) {
    if (node.listed && !node.HasContactSinceLoss()) {
      lost.push_back(address);
    }
  }
  std::sort(lost.begin(), lost.end());
  const auto count = std::min(lost.size(), kMaxLostNodesProbed);
  for (std::size_t drawn = 0; drawn < count; ++drawn) {
    std::swap(lost[drawn],
              lost[drawn + this->random.Below(lost.size() - drawn)]);
    targets.push_back({.node = lost[drawn],
                       .kind = HeartbeatKind::kOtherDomain,
                       .wants_reply = true});
  }
}

std::vector<HeartbeatTarget> HeartbeatPlan::Next(
    Instant now,
    const Fleet& fleet,
    const std::vector<NodeAddress>& waiting) {
  std::vector<HeartbeatTarget> targets;
  this->AddOwnDomainNodes(now, fleet, targets);
  if (fleet.IsAggregator(now, this->self)) {
    for (const auto& domain : fleet.OtherDomains()) {
      for (const auto node : fleet.Aggregators(now, domain)) {
        targets.push_back({.node = node, .kind = HeartbeatKind::kAggregator});
      }
    }
  }
  for (const auto node : waiting) {
    targets.push_back({.node = node, .kind = HeartbeatKind::kOtherDomain});
  }
  if (++this->rounds % kRoundsPerOtherDomainHeartbeat == 0) {
    this->AddOtherDomainNodes(fleet, targets);
  }
  this->AddLostNodes(fleet, targets);
  // Merge targets with the same node: keep the kind with the most content, and
  // ask for a reply if any of them does.
  std::sort(targets.begin(), targets.end(),
            [](const auto& left, const auto& right) {
              return std::pair(left.node, left.kind) <
                     std::pair(right.node, right.kind);
            });
  std::vector<HeartbeatTarget> merged;
  for (const auto& target : targets) {
    if (!merged.empty() && merged.back().node == target.node) {
      merged.back().wants_reply |= target.wants_reply;
    } else if (target.node != this->self) {
      merged.push_back(target);
    }
  }
  return merged;
}

}  // namespace agaterun::membership
