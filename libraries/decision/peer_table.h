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

// What this node has observed about one other node. Observations may be out of
// date; they guarantee nothing.
struct PeerState {
  std::uint64_t incarnation = 0;  // 0 until the first heartbeat.
  Instant first_contact{};
  Instant last_contact{};
  LoadReport load;
  Instant load_reported_at{};
  std::uint64_t state_digest = 0;
  // From the platform's host list; the peer's own report is load.leaving.
  bool listed_as_leaving = false;
  // Attempts that this node sent to the peer and that have not ended.
  int in_flight = 0;
  // Start of the time for which an attempt has been in flight without any
  // message from the peer.
  Instant waiting_since{};
  // Number of times that attempts were lost without a reply since the peer last
  // replied to one.
  int losses = 0;
  Instant last_loss{};
  // Mean duration of completed attempts, weighted towards recent ones; zero
  // before the first one.
  Duration latency{};
  Instant latency_observed_at{};
  // Mean fraction of completed attempts whose response was a server error.
  double failure_share = 0;
  // Since when the backend server may be cold: the first message from the peer,
  // a new incarnation of its node, or the return of its backend server.
  Instant warmup_start{};
  // When the peer last refused an attempt for overload.
  Instant last_overload_refusal{};
};

// Peers by address. Entries don't move in memory until RemoveUnlistedPeers, so
// readers may keep pointers to them.
class PeerTable {
 public:
  // The peer's state; creates it for a new peer.
  PeerState& At(NodeAddress address);

  // The peer's state, or nullptr.
  const PeerState* Find(NodeAddress address) const;

  // Records that a message of any kind arrived from the peer.
  void Received(Instant now, NodeAddress address);

  // Records the load that the peer reported.
  void ReportLoad(Instant now, NodeAddress address, const LoadReport& load);

  // Records a heartbeat. A changed incarnation discards what the previous
  // process had reported. Returns true if the incarnation is new.
  bool ReportHeartbeat(Instant now, const Heartbeat& heartbeat);

  // Records that this node sent an attempt to the peer.
  void RecordAttemptStarted(Instant now, NodeAddress address);

  // Records that the peer completed an attempt after `elapsed`; `is_error` is
  // true if the response was a server error.
  void RecordAttemptCompleted(Instant now,
                              NodeAddress address,
                              Duration elapsed,
                              bool is_error);

  // Records that the peer replied that it did not complete an attempt.
  void RecordAttemptRefused(Instant now, NodeAddress address, Reason reason);

  // Records that an attempt ended without a reply.
  void AttemptLost(Instant now, NodeAddress address);

  // Records that this node abandoned an attempt after `elapsed`. Counts as a
  // loss if no message arrived from the peer in all that time.
  void RecordAttemptAbandoned(Instant now,
                              NodeAddress address,
                              Duration elapsed);

  // Removes peers that are not in `listed` and have no attempt in flight, once
  // the table has more than `max_unlisted` entries beyond the size of `listed`.
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
