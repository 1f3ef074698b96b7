#ifndef LIBRARIES_DECISION_LEAVING_HINTS_H_
#define LIBRARIES_DECISION_LEAVING_HINTS_H_

#include <map>
#include <optional>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"

namespace agaterun::decision {

// Hosts that the platform's lagging list names as leaving. Readers of the list
// note a change; all nodes pass it on for a while.
class LeavingHints {
 public:
  // The list as a reader got it.
  void UpdateFromHostList(Instant now, const std::vector<HostListEntry>& hosts);

  // Hints that a peer passed on.
  void MergeHints(Instant now, const std::vector<LeavingHint>& hints);

  // Hints to pass on, bounded in number. Forgets old ones.
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
  // What the list said of each host when this reader last saw it.
  std::map<NodeAddress, bool> last_host_list;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_LEAVING_HINTS_H_
