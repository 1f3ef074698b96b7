#ifndef LIBRARIES_DECISION_TICKET_GOSSIP_H_
#define LIBRARIES_DECISION_TICKET_GOSSIP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/heartbeat_peers.h"
#include "libraries/decision/initial_sync.h"
#include "libraries/decision/membership.h"
#include "libraries/decision/peer_table.h"
#include "libraries/decision/platform_schedule.h"
#include "libraries/decision/ticket_pull.h"
#include "libraries/decision/ticket_store.h"

namespace agaterun::decision {

// Keeps this node's tickets and peers current: reads the platform when this
// node ranks as a reader, hears the rest from peers, and heartbeats.
class TicketGossip {
 public:
  // Fingerprints with the time until each is forgiven.
  using Convicted = std::vector<std::pair<std::uint64_t, Duration>>;

  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    // Nodes to ask first, from the settings. May be empty, and may name this
    // node, which then reads the platform early when the others don't answer.
    std::vector<NodeAddress> seeds;
  };

  // `peers` and `random` outlive this.
  TicketGossip(Options options, PeerTable& peers, RandomSource& random);

  void Start(Instant now, Actions& actions);

  // Notices that this node was frozen. Called first with every event of the
  // node, so that nothing is decided by what was true before.
  void DetectFreeze(Instant now, Actions& actions);

  void OnHeartbeat(Instant now,
                   const HeartbeatReceived& event,
                   Actions& actions);
  void OnDigestReceived(Instant now, const DigestReceived& event, Actions& actions);
  void OnItemsReceived(Instant now,
                       const TicketItemsReceived& event,
                       Actions& actions);
  void OnItemsWanted(Instant now,
                     const TicketItemsRequested& event,
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
              const Convicted& quarantined,
              Actions& actions);

  // Sends a heartbeat to every node at once, as on a planned stop.
  void BroadcastHeartbeat(Instant now,
                          const LoadReport& load,
                          const Convicted& quarantined,
                          Actions& actions);

  // Earliest instant at which OnTick has work.
  std::optional<Instant> NextWake() const;

  // The state in force. PublishState came with each change.
  const std::shared_ptr<const TicketState>& State() const {
    return this->state;
  }

  // False until this node has learned enough to serve: from peers, or from
  // the platform when it is alone. False again after it was frozen.
  bool Ready() const { return this->ready; }

  // True when the platform's list turned to name this host as leaving while
  // this process ran.
  bool ListedAsLeaving() const { return this->membership.ListedAsLeaving(); }

  ReaderRole Role() const { return this->role; }
  // When the platform last had nothing newer than the state, as far as known.
  std::optional<Instant> ConfirmedAt() const { return this->confirmed_at; }
  const std::vector<NodeAddress>& HeartbeatTargets() const {
    return this->heartbeat_peers.Peers();
  }

 private:
  // What a peer was last told, so that it is not told twice.
  struct LastSent {
    std::uint64_t digest = 0;
    Instant instant{};
  };

  void OnDigest(Instant now,
                NodeAddress peer,
                std::uint64_t digest,
                Actions& actions);
  void SendDigest(Instant now, NodeAddress peer, Actions& actions);
  void SendHeartbeats(Instant now, Actions& actions);
  Heartbeat MakeHeartbeat(Instant now);
  void RequestNextItems(Instant now, Actions& actions);
  void Merge(Instant now,
             const std::vector<TicketItemText>& items,
             Actions& actions);
  void ContinueInitialSync(Instant now, Actions& actions);
  void BecomeReady(Instant now, Actions& actions);
  void Publish(Instant now, Actions& actions);
  void ReadPlatformWhenDue(Instant now, Actions& actions);
  void ReportWait(Actions& actions);
  std::uint64_t AdvertisedDigest() const;

  Options options;
  PeerTable& peers;
  RandomSource& random;
  TicketStore store;
  HeartbeatPeers heartbeat_peers;
  InitialSync initial_sync;
  Membership membership;
  PlatformSchedule schedule;
  TicketPull pull;

  std::shared_ptr<const TicketState> state;  // As published.
  bool ready = false;
  ReaderRole role = ReaderRole::kNone;
  std::optional<Instant> confirmed_at;
  std::optional<bool> platform_reached;
  std::string reported_wait;
  std::set<std::uint64_t> parsed_texts;  // Hashes of tickets read already.

  LoadReport load;
  Convicted quarantined;
  std::unordered_map<NodeAddress, LastSent> last_sent;

  Instant last_event{};
  Instant next_heartbeat{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_GOSSIP_H_
