#include "libraries/decision/ticket_pull.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kAnswerTimeout = 500ms;
constexpr std::size_t kMostCandidates = 16;
// A peer that holds less than this node, but never held what this node held,
// looks like one that holds more. It asks in its turn, and is equal soon; until
// then it is not asked with each word that it says.
constexpr Duration kAskAgain = 1500ms;
constexpr std::size_t kMostAskedFor = 128;

}  // namespace

void TicketPull::Offer(NodeAddress peer, std::uint64_t digest) {
  std::erase_if(this->candidates,
                [&](const Candidate& known) { return known.peer == peer; });
  if (this->asked && this->asked->peer == peer &&
      this->asked->digest == digest) {
    return;
  }
  this->candidates.push_back({.peer = peer, .digest = digest});
  if (this->candidates.size() > kMostCandidates) {
    this->candidates.pop_front();
  }
}

std::optional<NodeAddress> TicketPull::Next(Instant now) {
  if (this->asked && now - this->asked_at < kAnswerTimeout) {
    return std::nullopt;
  }
  this->asked.reset();
  while (!this->candidates.empty()) {
    const auto next = this->candidates.front();
    this->candidates.pop_front();
    const auto before = this->asked_for.find(next.digest);
    if (this->store.Covers(next.digest) ||
        (before != this->asked_for.end() && now - before->second < kAskAgain)) {
      continue;
    }
    this->asked = next;
    this->asked_at = now;
    return next.peer;
  }
  return std::nullopt;
}

void TicketPull::Answered(Instant now, NodeAddress peer) {
  if (!this->asked || this->asked->peer != peer) {
    return;
  }
  if (this->asked_for.size() >= kMostAskedFor) {
    this->asked_for.clear();
  }
  this->asked_for[this->asked->digest] = now;
  this->asked.reset();
}

std::optional<Instant> TicketPull::Deadline() const {
  return this->asked ? std::optional(this->asked_at + kAnswerTimeout)
                     : std::nullopt;
}

}  // namespace agaterun::decision
