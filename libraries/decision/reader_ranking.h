#ifndef LIBRARIES_DECISION_READER_RANKING_H_
#define LIBRARIES_DECISION_READER_RANKING_H_

#include <cstdint>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// A peer that said nothing for this long counts as silent.
inline constexpr Duration kHeartbeatTimeout = 1s;

// What a node has to do with the platform.
enum class ReaderRole : std::uint8_t {
  kNone,     // Reads only when nobody else seems to.
  kStandby,  // Reads when the readers seem to get nothing.
  kPoller,   // Reads at short intervals.
  kWatcher,  // Holds a read open; another node polls.
};

inline constexpr std::array kReaderRoleNames = {
    EnumName<ReaderRole>{ReaderRole::kNone, "none"},
    EnumName<ReaderRole>{ReaderRole::kStandby, "standby"},
    EnumName<ReaderRole>{ReaderRole::kPoller, "poller"},
    EnumName<ReaderRole>{ReaderRole::kWatcher, "watcher"},
};

// Role of `self` among `candidates`, best first: the first two that are not
// silent read. Peers get the benefit of the doubt until this node has listened
// for kHeartbeatTimeout since `observing_since`.
ReaderRole RankReader(Instant now,
                      NodeAddress self,
                      const std::vector<NodeAddress>& candidates,
                      const PeerTable& peers,
                      Instant observing_since);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_READER_RANKING_H_
