#include "libraries/decision/initial_sync.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Seeds are asked one by one, since each answers with all that it has.
constexpr Duration kSeedQueryInterval = 150ms;
constexpr Duration kPeerQueryInterval = 250ms;
constexpr Duration kSeedReplyTimeout = 600ms;
constexpr Duration kPeerReplyTimeout = 500ms;
// More would only tell the same.
constexpr std::size_t kMaxPeersQueried = 6;

}  // namespace

void InitialSync::Start(Instant now, std::uint64_t first_seed) {
  this->phase = Phase::kSeeds;
  this->next_seed = static_cast<std::size_t>(first_seed);
  this->next_query = now;
  this->seed_deadline = now + (this->seeds.empty() ? 0ms : kSeedReplyTimeout);
}

void InitialSync::QueryPeers(Instant query_from,
                             std::vector<NodeAddress> peers) {
  for (const auto seed : this->seeds) {
    if (std::find(peers.begin(), peers.end(), seed) == peers.end()) {
      peers.insert(peers.begin(), seed);
    }
  }
  if (peers.size() > kMaxPeersQueried) {
    peers.resize(kMaxPeersQueried);
  }
  this->phase = peers.empty() ? Phase::kDone : Phase::kPeers;
  this->pending_peers = std::move(peers);
  this->query_from = query_from;
  this->next_query = query_from;
  this->peer_deadline = query_from + kPeerReplyTimeout;
}

std::vector<NodeAddress> InitialSync::TakeDueQueries(Instant now) {
  if (this->phase == Phase::kSeeds && now >= this->seed_deadline) {
    this->phase = Phase::kPlatform;
  }
  if (this->phase == Phase::kPeers && now >= this->peer_deadline) {
    this->phase = Phase::kDone;
  }
  if (this->phase == Phase::kDone || now < this->next_query) {
    return {};
  }
  if (this->phase == Phase::kPeers) {
    this->next_query = now + kPeerQueryInterval;
    return this->pending_peers;
  }
  this->next_query = now + kSeedQueryInterval;
  if (this->seeds.empty()) {
    return {};
  }
  return {this->seeds[this->next_seed++ % this->seeds.size()]};
}

void InitialSync::RecordReply(Instant now, NodeAddress peer) {
  // What was on its way while this node was frozen is no answer.
  if (this->phase != Phase::kPeers || now < this->query_from) {
    return;
  }
  std::erase(this->pending_peers, peer);
  if (this->pending_peers.empty()) {
    this->phase = Phase::kDone;
  }
}

std::string_view InitialSync::WaitReason(bool platform_reached) const {
  switch (this->phase) {
    case Phase::kSeeds:
      return "an answer of a node that [node] seeds names";
    case Phase::kPlatform:
      return platform_reached
                 ? "the first ticket; the platform answers and has none"
                 : "the platform, or a node that [node] seeds names";
    case Phase::kPeers:
      return "an answer of a node that the tickets name";
    case Phase::kDone:
      break;
  }
  return "nothing";
}

std::optional<Instant> InitialSync::NextWake() const {
  switch (this->phase) {
    case Phase::kSeeds:
      return std::min(this->next_query, this->seed_deadline);
    case Phase::kPlatform:
      return this->next_query;
    case Phase::kPeers:
      return std::min(this->next_query, this->peer_deadline);
    case Phase::kDone:
      break;
  }
  return std::nullopt;
}

}  // namespace agaterun::decision
