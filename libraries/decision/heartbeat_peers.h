#ifndef LIBRARIES_DECISION_HEARTBEAT_PEERS_H_
#define LIBRARIES_DECISION_HEARTBEAT_PEERS_H_

#include <string>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// Selects the nodes that this node sends heartbeats to: a bounded number,
// whatever the size of the fleet, computed on all nodes in the same way from
// the tickets alone.
class HeartbeatPeers {
 public:
  struct Options {
    NodeAddress self;
    std::string region;
    std::string failure_domain;
  };

  explicit HeartbeatPeers(Options options) : options(std::move(options)) {}

  // Recomputes all lists from the endpoints in `state`.
  void Rebuild(const TicketState& state);

  // Nodes that receive each heartbeat; never contains this node.
  const std::vector<NodeAddress>& Peers() const { return this->peers; }

  // Nodes of this node's failure domain that may read the platform, in order of
  // preference; may contain this node.
  const std::vector<NodeAddress>& ReaderCandidates() const {
    return this->reader_candidates;
  }

  // All nodes that the tickets list, except this one.
  const std::vector<NodeAddress>& Fleet() const { return this->fleet; }

 private:
  struct Member {
    NodeAddress node;
    std::string domain;  // REGION/FAILURE_DOMAIN.
    std::string service;
  };

  void AddRing(const std::vector<NodeAddress>& ring, bool is_domain);
  void AddOtherDomains(const std::vector<Member>& members);
  void AddPeer(NodeAddress node);

  Options options;
  std::vector<NodeAddress> peers;
  std::vector<NodeAddress> reader_candidates;
  std::vector<NodeAddress> fleet;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_HEARTBEAT_PEERS_H_
