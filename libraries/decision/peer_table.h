#ifndef LIBRARIES_DECISION_PEER_TABLE_H_
#define LIBRARIES_DECISION_PEER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// What this node has seen of one other node. Observations, not promises.
struct PeerState {
  std::uint64_t incarnation = 0;  // 0 until a heartbeat told it.
  Instant first_message_at{};
  Instant last_contact{};
  LoadReport load;
  Instant load_reported_at{};
  std::uint64_t state_digest = 0;
  // The host list says so; the node's own word stands in load.leaving.
  bool listed_as_leaving = false;
  // Attempts of this node that are under way there.
  int in_flight = 0;
  // Since when an attempt waits there without any word from the peer.
  Instant waiting_since{};
  // Times that attempts were lost without a word since the last answer to one.
  int losses = 0;
  Instant last_loss{};
  // Mean time of completed attempts, recent ones first; zero without any.
  Duration latency{};
  Instant latency_observed_at{};
  // Mean share of completed attempts whose answer was a server's error.
  double failure_share = 0;
  // Start of what may be a cold backend server: first heard, a new life of the
  // node, or the backend server is back.
  Instant cold_since{};
  // Last refusal for overload.
  Instant last_overload_refusal{};
};

// Peers by address. States stay where they are until RemoveUnlistedPeers, so
// that readers may keep pointers to them.
class PeerTable {
 public:
  // The peer's state, made when it is new.
  PeerState& At(NodeAddress address);

  // The peer's state, or nullptr.
  const PeerState* Find(NodeAddress address) const;

  // Notes a word from the peer, of whatever kind.
  void Received(Instant now, NodeAddress address);

  // Notes the load that the peer told of itself.
  void ReportLoad(Instant now, NodeAddress address, const LoadReport& load);

  // Notes a heartbeat. A changed incarnation forgets what the former life of
  // the process had told. Returns true when the incarnation is new.
  bool ReportHeartbeat(Instant now, const Heartbeat& heartbeat);

  // Notes that an attempt of this node left for the peer.
  void AttemptStarted(Instant now, NodeAddress address);

  // Notes that the peer completed an attempt after `elapsed`; `is_error` tells
  // that the answer was a server's error.
  void AttemptCompleted(Instant now,
                        NodeAddress address,
                        Duration elapsed,
                        bool is_error);

  // Notes the peer's word that it did not complete an attempt.
  void AttemptRefused(Instant now, NodeAddress address, Reason reason);

  // Notes that an attempt ended without a word.
  void AttemptLost(Instant now, NodeAddress address);

  // Notes that this node gave up an attempt after `elapsed`. Counts as lost
  // when the peer said nothing all the while.
  void AttemptAbandoned(Instant now, NodeAddress address, Duration elapsed);

  // Forgets peers that are not in `named` and have no attempt under way, once
  // there are more than `max_unlisted` of them.
  void RemoveUnlistedPeers(const std::unordered_set<NodeAddress>& listed,
                           std::size_t max_unlisted);

  const std::unordered_map<NodeAddress, PeerState>& All() const {
    return this->peers;
  }

 private:
  std::unordered_map<NodeAddress, PeerState> peers;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PEER_TABLE_H_
