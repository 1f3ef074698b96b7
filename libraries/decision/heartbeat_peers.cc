#include "libraries/decision/heartbeat_peers.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "libraries/base/node_hash.h"

namespace agaterun::decision {

namespace {

constexpr std::size_t kMaxReaderCandidates = 6;
constexpr std::size_t kMaxOtherDomains = 4;

std::string DomainKey(std::string_view region, std::string_view domain) {
  return std::string(region) + "/" + std::string(domain);
}

// Index of `node` in `ring`. A node that no ticket lists gets the index of its
// successor, where it would be inserted.
std::size_t RingIndex(const std::vector<NodeAddress>& ring, NodeAddress node) {
  const auto position = std::lower_bound(
      ring.begin(), ring.end(), node, [](NodeAddress left, NodeAddress right) {
        return NodeHash(left) < NodeHash(right);
      });
  return static_cast<std::size_t>(position - ring.begin()) % ring.size();
}

}  // namespace

void HeartbeatPeers::Rebuild(const TicketState& state) {
  this->peers.clear();
  this->reader_candidates.clear();
  this->fleet.clear();
  std::vector<Member> members;
  for (const auto& [name, item] : state.items) {
    if (!item.service) {
      continue;
    }
    for (const auto& endpoint : item.service->endpoints) {
      members.push_back(
          {.node = endpoint.node,
           .domain = DomainKey(endpoint.region, endpoint.failure_domain),
           .service = item.service->name});
    }
  }
  std::sort(members.begin(), members.end(),
            [](const Member& left, const Member& right) {
              return NodeHash(left.node) < NodeHash(right.node);
            });
  const auto own_domain =
      DomainKey(this->options.region, this->options.failure_domain);
  std::string own_service;
  std::vector<NodeAddress> domain_ring;
  for (const auto& member : members) {
    if (member.node == this->options.self) {
      own_service = member.service;
    } else {
      this->fleet.push_back(member.node);
    }
    if (member.domain == own_domain) {
      domain_ring.push_back(member.node);
    }
  }
  std::vector<NodeAddress> service_ring;
  for (const auto& member : members) {
    if (!own_service.empty() && member.service == own_service) {
      service_ring.push_back(member.node);
    }
  }
  this->AddRing(domain_ring, /*is_domain=*/true);
  this->AddRing(service_ring, /*is_domain=*/false);
  this->AddOtherDomains(members);
  // The ring is already ordered by a hash of the address, so another hash would
  // not give a better order; the addresses of the first nodes are as far apart
  // as those of the rest.
  this->reader_candidates.assign(
      domain_ring.begin(),
      domain_ring.begin() + static_cast<std::ptrdiff_t>(std::min(
                                domain_ring.size(), kMaxReaderCandidates)));
  if (std::find(this->reader_candidates.begin(), this->reader_candidates.end(),
                this->options.self) != this->reader_candidates.end()) {
    for (const auto node : this->reader_candidates) {
      this->AddPeer(node);
    }
  }
}

// Steps of 1, n^(1/3) and n^(2/3) in both directions reach all nodes of a
// domain of 240 in at most about nine hops, while no node receives heartbeats
// from more than six others. The members of a service forward little, so two
// steps are enough for them.
void HeartbeatPeers::AddRing(const std::vector<NodeAddress>& ring,
                             bool is_domain) {
  if (ring.empty()) {
    return;
  }
  const auto size = ring.size();
  const auto index = RingIndex(ring, this->options.self);
  const auto power = [&](double exponent) {
    return static_cast<std::size_t>(
        std::lround(std::pow(static_cast<double>(size), exponent)));
  };
  const std::vector<std::size_t> steps =
      is_domain ? std::vector<std::size_t>{1, power(1.0 / 3), power(2.0 / 3)}
                : std::vector<std::size_t>{1, power(1.0 / 2)};
  this->AddPeer(ring[index]);
  for (const auto step : steps) {
    this->AddPeer(ring[(index + step) % size]);
    this->AddPeer(ring[(index + size - step % size) % size]);
  }
}

// Adds the node with the same index in each other domain, so that the links
// between two domains involve as many nodes as possible, and no node has many
// of them.
void HeartbeatPeers::AddOtherDomains(const std::vector<Member>& members) {
  std::map<std::string, std::vector<NodeAddress>> domains;
  for (const auto& member : members) {
    domains[member.domain].push_back(member.node);
  }
  const auto own_name =
      DomainKey(this->options.region, this->options.failure_domain);
  const auto own_members = domains.find(own_name);
  const auto index = own_members == domains.end() || own_members->second.empty()
                         ? NodeHash(this->options.self)
                         : RingIndex(own_members->second, this->options.self);
  auto next = domains.upper_bound(own_name);
  for (std::size_t count = 0;
       count < std::min(kMaxOtherDomains, domains.size()); ++count, ++next) {
    if (next == domains.end()) {
      next = domains.begin();
    }
    if (next->first != own_name) {
      this->AddPeer(next->second[index % next->second.size()]);
    }
  }
}

void HeartbeatPeers::AddPeer(NodeAddress node) {
  if (node != this->options.self &&
      std::find(this->peers.begin(), this->peers.end(), node) ==
          this->peers.end()) {
    this->peers.push_back(node);
  }
}

}  // namespace agaterun::decision
