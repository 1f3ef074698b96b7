#ifndef LIBRARIES_DECISION_MEMBERSHIP_H_
#define LIBRARIES_DECISION_MEMBERSHIP_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "libraries/decision/events.h"
#include "libraries/decision/leaving_hints.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// What this node believes of other nodes from heartbeats and the host list.
class Membership {
 public:
  // `peers` outlives this.
  Membership(NodeAddress self, PeerTable& peers) : self(self), peers(peers) {}

  void Start(Instant now);

  // This node was frozen: forgets what it held on peers, and takes no word
  // that may have waited meanwhile.
  void ResetAfterFreeze(Instant now);

  // Notes a heartbeat. Returns false for one that tells nothing of now: it
  // waited while this node was frozen, or its process has been replaced.
  bool RecordHeartbeat(Instant now, const Heartbeat& heartbeat);

  void RecordHostList(Instant now, const std::vector<HostListEntry>& hosts);

  // Hints of the host list to pass on.
  std::vector<LeavingHint> CollectHints(Instant now) {
    return this->hints.Collect(now);
  }

  // True when the platform's list turned to name this host as leaving while
  // this process ran.
  bool ListedAsLeaving() const;

  // False while words may come that waited when this node was frozen.
  bool AcceptsReports(Instant now) const {
    return now >= this->ignores_reports_until;
  }
  Instant IgnoresReportsUntil() const { return this->ignores_reports_until; }
  // Since when silence of a peer means something.
  Instant ObservingSince() const { return this->observing_since; }

 private:
  void UpdateListedAsLeaving();

  NodeAddress self;
  PeerTable& peers;
  LeavingHints hints;
  bool has_hints = false;
  // Incarnations that gave way to another one.
  std::unordered_map<NodeAddress, std::uint64_t> replaced_incarnations;
  Instant start_time{};
  Instant observing_since{};
  Instant ignores_reports_until{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_MEMBERSHIP_H_
