#ifndef LIBRARIES_DECISION_LEAVING_HINTS_H_
#define LIBRARIES_DECISION_LEAVING_HINTS_H_

#include <map>
#include <optional>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"

namespace agaterun::decision {

// Hosts that the platform's host list, which lags, marks as leaving. Nodes that
// read the list record a change; all nodes gossip it for a limited time.
class LeavingHints {
 public:
  // Updates the hints from a host list that this node read from the platform.
  void UpdateFromHostList(Instant now, const std::vector<HostListEntry>& hosts);

  // Merges hints that a peer sent.
  void MergeHints(Instant now, const std::vector<LeavingHint>& hints);

  // Returns the hints to send to peers, a bounded number, and drops expired
  // ones.
  std::vector<LeavingHint> Collect(Instant now);

  // When the host was listed as leaving, or nothing.
  std::optional<Instant> ListedSince(NodeAddress node) const;

  bool IsEmpty() const { return this->hints.empty(); }

 private:
  struct Hint {
    Instant listed_since{};
    Instant last_listed{};
  };

  void MergeHint(NodeAddress node, Hint hint);

  std::map<NodeAddress, Hint> hints;
  // Whether each host was marked as leaving when this node last read the list.
  std::map<NodeAddress, bool> last_host_list;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_LEAVING_HINTS_H_
