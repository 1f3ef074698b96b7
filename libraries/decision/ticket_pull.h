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

// Selects the peer to request missing items from: one at a time, so that a
// change that many peers report is fetched once.
class TicketPull {
 public:
  // `store` must outlive this object.
  explicit TicketPull(const TicketStore& store) : store(store) {}

  // Records that `peer` reported the state `digest`, which may contain
  // something newer.
  void AddCandidate(NodeAddress peer, std::uint64_t digest);

  // Returns the peer to send a request to now, or nothing if no request is
  // needed or one is pending.
  std::optional<NodeAddress> NextRequest(Instant now);

  // Records a reply of `peer`, whose items are already in the store.
  void RecordReply(Instant now, NodeAddress peer);

  // When the pending request times out, and NextRequest has to be called even
  // without another message.
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
  // Digests of requests that were replied to without making this node's state
  // equal, with the time of the reply.
  std::unordered_map<std::uint64_t, Instant> requested_digests;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_PULL_H_
