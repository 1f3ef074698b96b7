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

// What nodes pass on to each other of what the platform published, so that few
// of them have to read it. The number of the configuration travels on every
// frame, what is known of endpoints in heartbeats; a node that sees more than
// it knows asks the sender.
class StateGossip {
 public:
  // A configuration came into force. `text` is what the platform published.
  void SetConfiguration(std::uint64_t version, std::string text);
  std::uint64_t Version() const { return this->version; }

  // True when `peer`, which knows more, is to be asked now.
  bool ShouldAsk(Instant now, NodeAddress peer);

  // What this node knows, for a peer that is asked; `since` is the revision
  // after which endpoints are wanted.
  std::vector<decision::TicketItemVersion> Known(std::uint64_t since) const;

  // What a peer that knows so much lacks.
  std::vector<decision::TicketItemText> Items(
      const std::vector<decision::TicketItemVersion>& known,
      const Directory& endpoints) const;

  // The configuration's text in `items`, or nullptr.
  static const decision::TicketItemText* FindConfiguration(
      const std::vector<decision::TicketItemText>& items);
  // The endpoints in `items`. Nothing when there are none that can be read.
  static std::optional<EndpointChanges> ReadEndpoints(
      const std::vector<decision::TicketItemText>& items);

 private:
  std::uint64_t version = 0;
  std::string text;
  std::unordered_map<NodeAddress, Instant> asked;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_STATE_GOSSIP_H_
