#ifndef LIBRARIES_DECISION_INITIAL_SYNC_H_
#define LIBRARIES_DECISION_INITIAL_SYNC_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"

namespace agaterun::decision {

// Obtains the tickets in force before a node starts to serve: from its seeds,
// otherwise from the platform and then from the nodes that those tickets list,
// so that a lagging platform can't roll a restarted node back to older tickets.
class InitialSync {
 public:
  enum class Phase : std::uint8_t { kSeeds, kPlatform, kPeers, kDone };

  // `seeds` must not contain this node.
  explicit InitialSync(std::vector<NodeAddress> seeds)
      : seeds(std::move(seeds)) {}

  // `first_seed` selects the seed to query first, so that the nodes of a fleet
  // that starts together don't all query the same one.
  void Start(Instant now, std::uint64_t first_seed);

  // Called when this node has tickets but other nodes may have newer ones.
  // Queries `peers` and the seeds from `query_from` on; finishes immediately if
  // there are none.
  void QueryPeers(Instant query_from, std::vector<NodeAddress> peers);

  // Returns the nodes to query now.
  std::vector<NodeAddress> TakeDueQueries(Instant now);

  // Records a reply of `peer`, whether or not it contained items.
  void RecordReply(Instant now, NodeAddress peer);

  // Called when a serving node reported the same state or sent its own: no
  // further queries are needed.
  void Finish() { this->phase = Phase::kDone; }

  Phase CurrentPhase() const { return this->phase; }
  bool IsDone() const { return this->phase == Phase::kDone; }

  // The platform must not be read before this instant, so that the seeds are
  // queried first.
  Instant SeedDeadline() const { return this->seed_deadline; }

  // What the node waits for, as a hint for the operator when this takes long.
  std::string_view WaitReason(bool platform_reached) const;

  std::optional<Instant> NextWake() const;

 private:
  Phase phase = Phase::kSeeds;
  std::vector<NodeAddress> seeds;
  std::size_t next_seed = 0;
  std::vector<NodeAddress> pending_peers;  // Queried in kPeers, no reply yet.
  Instant seed_deadline{};
  Instant next_query{};
  Instant query_from{};
  Instant peer_deadline{};  // End of kPeers.
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_INITIAL_SYNC_H_
