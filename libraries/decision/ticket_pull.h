#ifndef LIBRARIES_DECISION_TICKET_PULL_H_
#define LIBRARIES_DECISION_TICKET_PULL_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/ticket_store.h"

namespace agaterun::decision {

// Which peer this node asks for items that it lacks: one at a time, so that a
// change that many peers tell of is fetched once.
class TicketPull {
 public:
  // `store` outlives the pull.
  explicit TicketPull(const TicketStore& store) : store(store) {}

  // A peer has the state `digest`, which may hold something newer.
  void AddCandidate(NodeAddress peer, std::uint64_t digest);

  // The peer to ask now, or nothing: none is needed, or one is being asked.
  std::optional<NodeAddress> NextRequest(Instant now);

  // The peer answered; what it had is in the store.
  void RecordReply(Instant now, NodeAddress peer);

  // When Next has to be called again though nothing was heard.
  std::optional<Instant> Deadline() const;

 private:
  struct Candidate {
    NodeAddress peer;
    std::uint64_t digest = 0;
  };

  const TicketStore& store;
  std::optional<Candidate> requested;
  Instant requested_at{};
  std::deque<Candidate> candidates;
  // Digest for which asking brought nothing that made this node's state equal,
  // with the time.
  std::unordered_map<std::uint64_t, Instant> requested_digests;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_PULL_H_
