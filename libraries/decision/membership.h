#ifndef LIBRARIES_DECISION_MEMBERSHIP_H_
#define LIBRARIES_DECISION_MEMBERSHIP_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libraries/decision/events.h"
#include "libraries/decision/leaving_hints.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// This node's view of the other nodes, from heartbeats and the platform's host
// list.
class Membership {
 public:
  // `peers` must outlive this object.
  Membership(NodeAddress self, PeerTable& peers) : self(self), peers(peers) {}

  void Start(Instant now);

  // Called after this node was frozen. Discards the recorded state of peers,
  // and ignores for a short time all reports, which may have been queued during
  // the freeze.
  void ResetAfterFreeze(Instant now);

  // Records a heartbeat. Returns false for one that does not describe the
  // current state: it was queued while this node was frozen, or its process has
  // been replaced by another incarnation. Also returns false for this node's
  // own heartbeats, and for new peers once the table is full.
  bool RecordHeartbeat(Instant now, const Heartbeat& heartbeat);

  void RecordHostList(Instant now, const std::vector<HostListEntry>& hosts);

  // Hints from the host list to send to peers.
  std::vector<LeavingHint> CollectHints(Instant now) {
    return this->hints.Collect(now);
  }

  // True if the platform's list began to mark this host as leaving while this
  // process ran.
  bool IsListedAsLeaving() const;

  // False while received reports may have been queued when this node was
  // frozen.
  bool AcceptsReports(Instant now) const {
    return now >= this->ignores_reports_until;
  }
  Instant IgnoresReportsUntil() const { return this->ignores_reports_until; }
  // A peer counts as unresponsive only for time after this instant.
  Instant ObservingSince() const { return this->observing_since; }

 private:
  void UpdateListedAsLeaving();

  NodeAddress self;
  PeerTable& peers;
  LeavingHints hints;
  bool has_hints = false;
  // Per node, the incarnation that was last replaced by another one.
  std::unordered_map<NodeAddress, std::uint64_t> replaced_incarnations;
  Instant start_time{};
  Instant observing_since{};
  Instant ignores_reports_until{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_MEMBERSHIP_H_
