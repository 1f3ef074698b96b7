#ifndef LIBRARIES_MEMBERSHIP_FLEET_H_
#define LIBRARIES_MEMBERSHIP_FLEET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
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

// Sort key of `other` among the candidates of `node`. A hash of both addresses,
// so that nodes choose different candidates.
std::uint64_t RankOf(NodeAddress node, NodeAddress other);

// Known state of a node and of its backend server.
struct FleetNode {
  NodeAddress node;
  std::string service;
  std::string failure_domain;
  int slots = 1;
  std::string instance;          // Of the backend server, from the list.
  std::uint64_t started_at = 0;  // The same.
  bool listed = false;           // Is in the platform's list.
  bool listed_as_leaving = false;
  // Its backend server has stated so in a response to this node.
  bool stated_leaving = false;
  Instant warmup_until{};

  // Reported by the node itself; takes precedence over the list.
  decision::LoadReport load;
  std::optional<Instant> load_reported_at;
  std::optional<Instant> last_contact;

  // Results of this node's attempts at the node.
  int in_flight = 0;
  int sent_since_report = 0;  // Attempts not in its last report.
  Instant waiting_since{};    // Last message or first attempt.
  int losses = 0;             // Consecutive lost attempts.
  Instant last_loss{};
  double failure_share = 0;  // Moving average of failed replies.
  Instant failure_share_updated_at{};

  // True if the node has sent a message since the last loss of an attempt.
  bool HasContactSinceLoss() const {
    return this->losses == 0 ||
           (this->last_contact && *this->last_contact > this->last_loss);
  }
};

// The nodes of the fleet, from the platform's list and the nodes' own reports.
class Fleet {
 public:
  struct Options {
    NodeAddress self;
    // Port at which each node listens for others.
    std::uint16_t node_port = 0;
    // Port of each backend server.
    std::uint16_t backend_port = 0;
    std::string failure_domain;
  };

  explicit Fleet(Options options) : options(std::move(options)) {}

  // Sets the services that the configuration in force names. Until then, every
  // service counts as named. Applies from the next SetList on. Returns whether
  // the services are others than before.
  bool SetNamedServices(std::set<std::string, std::less<>> services);

  // Applies the listed entries, of which some may come from other writers than
  // backend servers. Unlisted nodes are removed when they have not sent a
  // message recently and have no attempts in flight.
  void SetList(Instant now, const std::vector<EndpointEntry>& entries);

  // The node beside the endpoint.
  NodeAddress NodeOf(const EndpointEntry& entry) const {
    return {.ip = entry.address.ip, .port = this->options.node_port};
  }

  // The listed entry at the address of a backend server, the one in use if
  // there are several; nullopt if there is none.
  std::optional<EndpointEntry> EntryAt(NodeAddress address) const;

  // Known nodes of a service, listed or not.
  std::vector<FleetNode*> NodesOf(std::string_view service);

  // Nodes of a service whose backend server is listed, in any state.
  std::vector<NodeAddress> ListedNodesOf(std::string_view service) const;

  std::vector<std::string> Services() const;

  FleetNode* Find(NodeAddress node);
  const std::unordered_map<NodeAddress, FleetNode>& All() const {
    return this->nodes;
  }

  // Records that a message of any kind was received from the node.
  void Received(Instant now, NodeAddress node);
  // Records a load report of the node.
  void RecordLoad(Instant now,
                  NodeAddress node,
                  const decision::LoadReport& load);
  void AttemptSent(Instant now, NodeAddress node);
  // Records the node's reply to an attempt. `failed` is true when the backend
  // server failed to process it.
  void AttemptReplied(Instant now, NodeAddress node, bool failed);
  // Records that the node's backend server stated in a response that it is
  // leaving. It stays so until another incarnation is listed there, even if the
  // node restarts or its entry is removed and returns.
  void RecordStatedLeaving(NodeAddress node);
  // Records the end of an attempt without a reply. `is_unresponsive` is true
  // when the node had enough time to reply, so that the attempt counts as lost.
  void AttemptEnded(Instant now, NodeAddress node, bool is_unresponsive);

  // A node from which no message was received for this long is considered
  // unreachable. A multiple of the interval of its heartbeats to this node.
  Duration ContactTimeout(const FleetNode& node) const;

  const std::string& OwnDomain() const { return this->options.failure_domain; }
  bool IsInOwnDomain(const FleetNode& node) const {
    return node.failure_domain == this->options.failure_domain;
  }
  // Nodes of this failure domain, sorted by address.
  const std::vector<NodeAddress>& NodesOfOwnDomain() const {
    return this->own_domain_nodes;
  }
  // True if each node of this failure domain receives the heartbeats of all
  // others.
  bool IsDomainFullMesh() const;
  // True if each node also receives the heartbeats of all nodes in other
  // failure domains, at a lower rate.
  bool IsSmallFleet() const;
  std::vector<std::string> OtherDomains() const;

  // The aggregators of a failure domain: nodes that add up its demand and send
  // the sum to the aggregators of other failure domains. All nodes use the same
  // order of candidates and so choose the same nodes.
  std::vector<NodeAddress> Aggregators(Instant now,
                                       std::string_view domain) const;
  bool IsAggregator(Instant now, NodeAddress node) const;

  // Unresponsive nodes: those with attempts in flight that have not sent a
  // message since the attempts began to wait.
  std::vector<NodeAddress> UnresponsiveNodes(Instant now) const;

  const std::vector<EndpointEntry>& List() const { return this->list; }

 private:
  bool IsNamed(std::string_view service) const {
    return this->named_services.empty() ||
           this->named_services.contains(service);
  }
  // False if the entry can't be that of a backend server.
  bool IsUsable(const EndpointEntry& entry) const;
  // Whether `entry` is in use rather than `other`, of the same host.
  bool TakesPrecedence(const EndpointEntry& entry,
                       std::string_view other_service,
                       std::uint64_t other_started_at) const;
  FleetNode& FindOrAdd(NodeAddress node);
  void RemoveUnlistedNodes(Instant now);
  void ApplyStatedLeaving(FleetNode& node);
  bool MayAggregate(Instant now, const FleetNode& node) const;

  Options options;
  std::set<std::string, std::less<>> named_services;
  std::vector<EndpointEntry> list;
  std::unordered_map<NodeAddress, FleetNode> nodes;
  std::map<std::string, std::vector<NodeAddress>, std::less<>> by_service;
  std::vector<NodeAddress> own_domain_nodes;
  // Backend servers that stated that they are leaving.
  struct LeavingInstance {
    std::string instance;
    std::uint64_t started_at = 0;
  };
  std::map<NodeAddress, LeavingInstance> stated_leaving;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_FLEET_H_
