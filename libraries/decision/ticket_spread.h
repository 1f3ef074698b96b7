#ifndef LIBRARIES_DECISION_TICKET_SPREAD_H_
#define LIBRARIES_DECISION_TICKET_SPREAD_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// Keeps this node's tickets and peers current: reads the platform when this
// node ranks as a reader, hears the rest from peers, and heartbeats.
class TicketSpread {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    // Nodes to ask first, from the settings. May be empty.
    std::vector<NodeAddress> seeds;
  };

  // `peers` and `random` outlive this.
  TicketSpread(Options options, PeerTable& peers, RandomSource& random);

  void Start(Instant now, Actions& actions);
  void OnHeartbeat(Instant now,
                   const HeartbeatReceived& event,
                   Actions& actions);
  void OnDigestSeen(Instant now, const DigestSeen& event, Actions& actions);
  void OnItemsReceived(Instant now,
                       const TicketItemsReceived& event,
                       Actions& actions);
  void OnItemsWanted(Instant now,
                     const TicketItemsWanted& event,
                     Actions& actions);
  void OnTicketPublished(Instant now,
                         const TicketPublished& event,
                         Actions& actions);
  void OnPlatformReadEnded(Instant now,
                           const PlatformReadEnded& event,
                           Actions& actions);
  void OnHostList(Instant now, const HostListReceived& event, Actions& actions);

  // Sends due heartbeats, which carry `load` and `convicted`, and due reads.
  void OnTick(Instant now,
              const LoadReport& load,
              const std::vector<std::pair<std::uint64_t, Duration>>& convicted,
              Actions& actions);

  // Sends a heartbeat to every peer at once, as on a planned stop.
  void Announce(
      Instant now,
      const LoadReport& load,
      const std::vector<std::pair<std::uint64_t, Duration>>& convicted,
      Actions& actions);

  // Earliest instant at which OnTick has work.
  std::optional<Instant> NextWake() const;

  // The state in force. PublishState came with each change.
  const std::shared_ptr<const TicketState>& State() const {
    return this->state;
  }

  // False until this node has learned enough to serve: from peers, or from
  // the platform when it is alone.
  bool Ready() const { return this->ready; }

 private:
  // Merges checked items and publishes the state when it changed.
  void Apply(const std::vector<TicketItemText>& items, Actions& actions);

  Options options;
  PeerTable& peers;
  [[maybe_unused]] RandomSource& random;
  std::shared_ptr<const TicketState> state;
  bool ready = false;
  std::uint64_t last_number = 0;
  std::optional<Instant> next_read;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_SPREAD_H_
