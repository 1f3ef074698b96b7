#ifndef LIBRARIES_DECISION_INITIAL_SYNC_H_
#define LIBRARIES_DECISION_INITIAL_SYNC_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"

namespace agaterun::decision {

// How a node learns the tickets in force before it serves: from its seeds,
// else from the platform and then from the nodes that the tickets name, so
// that a platform that lags can't take a restarted node back.
class InitialSync {
 public:
  enum class Phase : std::uint8_t { kSeeds, kPlatform, kPeers, kDone };

  // `seeds` without this node.
  explicit InitialSync(std::vector<NodeAddress> seeds)
      : seeds(std::move(seeds)) {}

  // `first` chooses the seed to begin with, so that not all nodes of a fleet
  // that starts ask the same one.
  void Start(Instant now, std::uint64_t first_seed);

  // Something is known, but nodes may know more: they are to be asked first,
  // from `query_from` on. Done at once when there are none.
  void QueryPeers(Instant query_from, std::vector<NodeAddress> peers);

  // Nodes to ask now.
  std::vector<NodeAddress> TakeDueQueries(Instant now);

  // The node has answered, whatever it had.
  void RecordReply(Instant now, NodeAddress peer);

  // A node that serves has the same state or gave its own.
  void Finish() { this->phase = Phase::kDone; }

  Phase CurrentPhase() const { return this->phase; }
  bool IsDone() const { return this->phase == Phase::kDone; }

  // Until when the platform is left alone, so that seeds come first.
  Instant SeedDeadline() const { return this->seed_deadline; }

  // What a person should look at when this takes long.
  std::string_view WaitReason(bool platform_reached) const;

  std::optional<Instant> NextWake() const;

 private:
  Phase phase = Phase::kSeeds;
  std::vector<NodeAddress> seeds;
  std::size_t next_seed = 0;
  std::vector<NodeAddress> pending_peers;  // In kPeers.
  Instant seed_deadline{};
  Instant next_query{};
  Instant query_from{};
  Instant peer_deadline{};  // Of kPeers.
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_INITIAL_SYNC_H_
