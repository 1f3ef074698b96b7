#ifndef LIBRARIES_DECISION_PEER_TABLE_H_
#define LIBRARIES_DECISION_PEER_TABLE_H_

#include <cstdint>
#include <unordered_map>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// What this node has seen of one other node. Observations, not promises.
struct PeerState {
  std::uint64_t incarnation = 0;  // 0 until a heartbeat told it.
  Instant first_heard{};
  Instant last_heard{};
  LoadReport load;
  Instant load_reported{};
  std::uint64_t state_digest = 0;
  // The host list says so; the node's own word stands in load.leaving.
  bool listed_as_leaving = false;
  // Attempts of this node that are under way there.
  int in_flight = 0;
  // Attempts lost without a word since the last word.
  int losses = 0;
  Instant last_loss{};
};

// Peers by address. Bounded: the tickets and the host list name them.
class PeerTable {
 public:
  // The peer's state, made when it is new.
  PeerState& At(NodeAddress address);

  // The peer's state, or nullptr.
  const PeerState* Find(NodeAddress address) const;

  // Notes a word from the peer.
  void Heard(Instant now, NodeAddress address);

  // Notes the load that the peer told of itself.
  void ReportLoad(Instant now, NodeAddress address, const LoadReport& load);

  // Notes a heartbeat. A changed incarnation forgets what the former life of
  // the process had told. Returns true when the incarnation is new.
  bool ReportHeartbeat(Instant now, const Heartbeat& heartbeat);

  const std::unordered_map<NodeAddress, PeerState>& All() const {
    return this->peers;
  }

 private:
  std::unordered_map<NodeAddress, PeerState> peers;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PEER_TABLE_H_
