#include "libraries/decision/ticket_pull.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kReplyTimeout = 500ms;
constexpr std::size_t kMaxCandidates = 16;
// A peer whose items are older than this node's, but whose state this node
// never had, looks like one with newer items. It sends a request in turn and
// soon has an equal state; until then, its messages don't cause another request
// before this time has passed.
constexpr Duration kRepeatedRequestDelay = 1500ms;
constexpr std::size_t kMaxRequestedDigests = 128;

}  // namespace

void TicketPull::AddCandidate(NodeAddress peer, std::uint64_t digest) {
  std::erase_if(this->candidates, [&](const Candidate& existing) {
    return existing.peer == peer;
  });
  if (this->requested && this->requested->peer == peer &&
      this->requested->digest == digest) {
    return;
  }
  this->candidates.push_back({.peer = peer, .digest = digest});
  if (this->candidates.size() > kMaxCandidates) {
    this->candidates.pop_front();
  }
}

std::optional<NodeAddress> TicketPull::NextRequest(Instant now) {
  if (this->requested && now - this->requested_at < kReplyTimeout) {
    return std::nullopt;
  }
  this->requested.reset();
  while (!this->candidates.empty()) {
    const auto next = this->candidates.front();
    this->candidates.pop_front();
    const auto previous = this->requested_digests.find(next.digest);
    if (this->store.Covers(next.digest) ||
        (previous != this->requested_digests.end() &&
         now - previous->second < kRepeatedRequestDelay)) {
      continue;
    }
    this->requested = next;
    this->requested_at = now;
    return next.peer;
  }
  return std::nullopt;
}

void TicketPull::RecordReply(Instant now, NodeAddress peer) {
  if (!this->requested || this->requested->peer != peer) {
    return;
  }
  if (this->requested_digests.size() >= kMaxRequestedDigests) {
    this->requested_digests.clear();
  }
  this->requested_digests[this->requested->digest] = now;
  this->requested.reset();
}

std::optional<Instant> TicketPull::Deadline() const {
  return this->requested ? std::optional(this->requested_at + kReplyTimeout)
                         : std::nullopt;
}

}  // namespace agaterun::decision
