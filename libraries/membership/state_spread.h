#ifndef LIBRARIES_MEMBERSHIP_STATE_SPREAD_H_
#define LIBRARIES_MEMBERSHIP_STATE_SPREAD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/membership/directory_source.h"

namespace agaterun::membership {

// What nodes pass on to each other of what the platform published, so that a
// node which the platform does not answer knows it too. The number of the
// configuration travels on every frame; a node that sees a larger one than its
// own asks the sender.
class StateSpread {
 public:
  // `random` outlives this.
  explicit StateSpread(RandomSource& random) : random(random) {}

  // A configuration came into force. `text` is what the platform published.
  void SetConfiguration(std::uint64_t version, std::string text);
  std::uint64_t Version() const { return this->version; }

  void SetList(const EndpointList& list);
  std::uint64_t ListRevision() const { return this->list.revision; }

  // True when `peer`, which told this number, is to be asked now.
  bool ShouldAsk(Instant now, NodeAddress peer, std::uint64_t told_version);

  // A peer to ask for the list because the platform does not answer, or
  // nothing.
  std::optional<NodeAddress> PeerForList(Instant now,
                                         bool platform_reached,
                                         const std::vector<NodeAddress>& fleet);

  // All that is known here, for a peer that asked.
  std::vector<decision::TicketItemText> Items() const;

  // The configuration's text in `items`, when it is newer than the one here.
  static const decision::TicketItemText* FindConfiguration(
      const std::vector<decision::TicketItemText>& items);
  // The list in `items`. Nothing when there is none that can be read.
  static std::optional<EndpointList> ReadList(
      const std::vector<decision::TicketItemText>& items);

 private:
  RandomSource& random;
  std::uint64_t version = 0;
  std::string text;
  EndpointList list;
  std::unordered_map<NodeAddress, Instant> asked;
  Instant list_asked{};
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_STATE_SPREAD_H_
