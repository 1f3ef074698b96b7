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

// Keeps this node's tickets and peer states current: reads the platform if this
// node is elected as a reader, receives everything else from peers, and sends
// heartbeats.
class TicketGossip {
 public:
  // Quarantined fingerprints with the remaining time of each quarantine.
  using QuarantinedFingerprints =
      std::vector<std::pair<std::uint64_t, Duration>>;

  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    // Nodes to query first, from the settings. May be empty, and may contain
    // this node, which then reads the platform early if the others don't reply.
    std::vector<NodeAddress> seeds;
  };

  // `peers` and `random` must outlive this object.
  TicketGossip(Options options, PeerTable& peers, RandomSource& random);

  void Start(Instant now, Actions& actions);

  // Detects that this node was frozen. Must be called first for every event of
  // the node, so that no decision is based on outdated state.
  void DetectFreeze(Instant now, Actions& actions);

  void OnHeartbeat(Instant now,
                   const HeartbeatReceived& event,
                   Actions& actions);
  void OnDigestReceived(Instant now,
                        const DigestReceived& event,
                        Actions& actions);
  void OnItemsReceived(Instant now,
                       const TicketItemsReceived& event,
                       Actions& actions);
  void OnItemsRequested(Instant now,
                        const TicketItemsRequested& event,
                        Actions& actions);
  void OnTicketPublished(Instant now,
                         const TicketPublished& event,
                         Actions& actions);
  void OnPlatformReadEnded(Instant now,
                           const PlatformReadEnded& event,
                           Actions& actions);
  void OnHostList(Instant now, const HostListReceived& event, Actions& actions);

  // Sends due heartbeats, which carry `load` and `quarantined`, and starts due
  // reads of the platform.
  void OnTick(Instant now,
              const LoadReport& load,
              const QuarantinedFingerprints& quarantined,
              Actions& actions);

  // Sends a heartbeat to every node immediately, as on a planned stop.
  void BroadcastHeartbeat(Instant now,
                          const LoadReport& load,
                          const QuarantinedFingerprints& quarantined,
                          Actions& actions);

  // Earliest instant at which OnTick has work.
  std::optional<Instant> NextWake() const;

  // The state in force. Each change is also issued as a PublishState action.
  const std::shared_ptr<const TicketState>& State() const {
    return this->state;
  }

  // False until this node has received enough state to serve: from peers, or
  // from the platform if it is alone. False again after it was frozen.
  bool Ready() const { return this->is_ready; }

  // True if the platform's list began to mark this host as leaving while this
  // process ran.
  bool IsListedAsLeaving() const {
    return this->membership.IsListedAsLeaving();
  }

  ReaderRole Role() const { return this->role; }
  // When the platform last had nothing newer than the state, as far as this
  // node has been informed.
  std::optional<Instant> ConfirmedAt() const { return this->confirmed_at; }
  const std::vector<NodeAddress>& HeartbeatTargets() const {
    return this->heartbeat_peers.Peers();
  }

 private:
  // The digest last sent to a peer, so that it is not sent twice.
  struct LastSent {
    std::uint64_t digest = 0;
    Instant instant{};
  };

  void HandleDigest(Instant now,
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

  std::shared_ptr<const TicketState> state;  // As last published.
  bool is_ready = false;
  ReaderRole role = ReaderRole::kNone;
  std::optional<Instant> confirmed_at;
  std::optional<bool> platform_reached;
  std::string reported_wait;
  // Hashes of tickets that were already parsed.
  std::set<std::uint64_t> parsed_texts;

  LoadReport load;
  QuarantinedFingerprints quarantined;
  std::unordered_map<NodeAddress, LastSent> last_sent;

  Instant last_event{};
  Instant next_heartbeat{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_GOSSIP_H_
