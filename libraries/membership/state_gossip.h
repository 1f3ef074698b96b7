#ifndef LIBRARIES_MEMBERSHIP_STATE_GOSSIP_H_
#define LIBRARIES_MEMBERSHIP_STATE_GOSSIP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/membership/directory.h"

namespace agaterun::membership {

// Gossip of the state that the platform published, so that only a few nodes
// have to read it. Each frame contains the sender's configuration version, and
// each heartbeat its endpoint revision and digest. A node that receives a newer
// one queries the sender.
class StateGossip {
 public:
  // Sets the configuration in force. `text` is the text that the platform
  // published.
  void SetConfiguration(std::uint64_t version, std::string text);
  std::uint64_t Version() const { return this->version; }

  // True when `peer`, which has newer state, should be queried now. Limits how
  // often a peer is queried.
  bool ShouldQuery(Instant now, NodeAddress peer);

  // The item versions of this node, to be sent in a query. `since` is the
  // revision after which changes of endpoints are requested.
  std::vector<decision::TicketItemVersion> Known(std::uint64_t since) const;

  // Items for a peer with the versions `known`: the configuration if this
  // node's is newer, and the changes of endpoints since the peer's revision.
  std::vector<decision::TicketItemText> Items(
      const std::vector<decision::TicketItemVersion>& known,
      const Directory& endpoints) const;

  // The configuration item in `items`; nullptr if there is none.
  static const decision::TicketItemText* FindConfiguration(
      const std::vector<decision::TicketItemText>& items);
  // The endpoint changes in `items`; nullopt if there are none or they can't be
  // parsed.
  static std::optional<EndpointChanges> ReadEndpoints(
      const std::vector<decision::TicketItemText>& items);

 private:
  std::uint64_t version = 0;
  std::string text;
  std::unordered_map<NodeAddress, Instant> last_queries;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_STATE_GOSSIP_H_
