#ifndef LIBRARIES_MEMBERSHIP_FLEET_H_
#define LIBRARIES_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"
#include "libraries/membership/endpoint_entry.h"

namespace agaterun::membership {

// Order of `other` among the nodes that `node` chooses from.
std::uint64_t RankOf(NodeAddress node, NodeAddress other);

// What this node knows of another one and of the backend server beside it.
struct FleetNode {
  NodeAddress node;
  std::string service;
  std::string failure_domain;
  int slots = 1;
  std::uint64_t started_at = 0;  // Of the backend server, as listed.
  bool listed = false;           // In the platform's list.
  bool listed_as_leaving = false;
  Instant cold_until{};

  // The node's own word, which goes before the list.
  decision::LoadReport load;
  std::optional<Instant> load_reported_at;
  std::optional<Instant> last_contact;

  // Of this node's attempts there.
  int in_flight = 0;
  int sent_since_report = 0;  // Not in the last report yet.
  Instant waiting_since{};    // Without a word while attempts are in flight.
  int losses = 0;             // In a row.
  Instant last_loss{};
  double failure_share = 0;  // Of the answers, lately.
  Instant failure_share_updated_at{};

  // Nothing was lost there since it last spoke.
  bool HasContactSinceLoss() const {
    return this->losses == 0 ||
           (this->last_contact && *this->last_contact > this->last_loss);
  }
};

// The nodes of the fleet, by what the platform lists and what they say.
class Fleet {
 public:
  struct Options {
    NodeAddress self;
    // Port at which each node listens for others.
    std::uint16_t node_port = 0;
    std::string failure_domain;
  };

  explicit Fleet(Options options) : options(std::move(options)) {}

  // Takes the platform's list. An older revision than the one known changes
  // nothing.
  void SetList(Instant now, const std::vector<EndpointEntry>& entries);

  // The node beside the endpoint.
  NodeAddress NodeOf(const EndpointEntry& entry) const {
    return {.ip = entry.address.ip, .port = this->options.node_port};
  }

  // The listed entry at the address of a backend server, the newest of
  // several; nothing when none is listed.
  std::optional<EndpointEntry> EntryAt(NodeAddress address) const;

  // Nodes of a service, listed or heard of.
  std::vector<FleetNode*> NodesOf(std::string_view service);

  std::vector<std::string> Services() const;

  FleetNode* Find(NodeAddress node);
  const std::unordered_map<NodeAddress, FleetNode>& All() const {
    return this->nodes;
  }

  // A node said something, of whatever kind.
  void Received(Instant now, NodeAddress node);
  // A node told its load, and the service beside it when it named one.
  void RecordLoad(Instant now,
                  NodeAddress node,
                  const decision::LoadReport& load);
  void AttemptSent(Instant now, NodeAddress node);
  // The node gave its word on an attempt; `failed` when its backend server
  // did not do its work.
  void AttemptReplied(Instant now, NodeAddress node, bool failed);
  // An attempt ended without a word; `silent` when there was time for one.
  void AttemptEnded(Instant now, NodeAddress node, bool silent);

  // Time without a word from the node after which it counts as cut off:
  // several of the heartbeats that this node hears from it.
  Duration ContactTimeout(const FleetNode& node) const;

  const std::string& OwnDomain() const { return this->options.failure_domain; }
  bool IsInOwnDomain(const FleetNode& node) const {
    return node.failure_domain == this->options.failure_domain;
  }
  // Nodes of this failure domain, in order.
  const std::vector<NodeAddress>& NodesNear() const { return this->near; }
  // Each node of this failure domain hears all others of it.
  bool IsDomainFullMesh() const;
  // Each node hears those of other failure domains, if less often.
  bool IsSmall() const;
  std::vector<std::string> OtherDomains() const;

  // The nodes that speak for a failure domain, by an order in which all nodes
  // agree: they add up its demand and tell it to the speakers of others.
  std::vector<NodeAddress> Speakers(Instant now, std::string_view domain) const;
  bool IsAggregator(Instant now, NodeAddress node) const;

  // Nodes that are silent although attempts wait there.
  std::vector<NodeAddress> UnresponsiveNodes(Instant now) const;

  const std::vector<EndpointEntry>& List() const { return this->list; }

 private:
  FleetNode& At(NodeAddress node);
  void ForgetGone(Instant now);
  bool MaySpeak(Instant now, const FleetNode& node) const;

  Options options;
  std::vector<EndpointEntry> list;
  std::unordered_map<NodeAddress, FleetNode> nodes;
  std::map<std::string, std::vector<NodeAddress>, std::less<>> by_service;
  std::vector<NodeAddress> near;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_FLEET_H_
