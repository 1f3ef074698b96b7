#ifndef LIBRARIES_DECISION_READER_RANKING_H_
#define LIBRARIES_DECISION_READER_RANKING_H_

#include <cstdint>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// A peer without a message for this long counts as unresponsive.
inline constexpr Duration kHeartbeatTimeout = 1s;

// Role of a node in reading the platform for its failure domain.
enum class ReaderRole : std::uint8_t {
  kNone,     // Reads only if no other node appears to read.
  kStandby,  // Reads if the readers appear to receive nothing.
  kPoller,   // Reads at short intervals.
  kWatcher,  // Keeps a read open until something changes; another node polls.
};

inline constexpr std::array kReaderRoleNames = {
    EnumName<ReaderRole>{ReaderRole::kNone, "none"},
    EnumName<ReaderRole>{ReaderRole::kStandby, "standby"},
    EnumName<ReaderRole>{ReaderRole::kPoller, "poller"},
    EnumName<ReaderRole>{ReaderRole::kWatcher, "watcher"},
};

// Role of `self` among `candidates`, which are in order of preference: the
// first two that are neither leaving nor unresponsive read. Peers count as
// responsive until this node has observed them for kHeartbeatTimeout since
// `observing_since`.
ReaderRole SelectReaderRole(Instant now,
                            NodeAddress self,
                            const std::vector<NodeAddress>& candidates,
                            const PeerTable& peers,
                            Instant observing_since);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_READER_RANKING_H_
