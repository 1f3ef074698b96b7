#include "libraries/decision/initial_sync.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Seeds are queried one at a time, because each replies with its whole state.
constexpr Duration kSeedQueryInterval = 150ms;
constexpr Duration kPeerQueryInterval = 250ms;
constexpr Duration kSeedReplyTimeout = 600ms;
constexpr Duration kPeerReplyTimeout = 500ms;
// Further peers would only send the same items.
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
  // Messages that were queued while this node was frozen don't count as
  // replies.
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
      return "a reply from a node listed in [node] seeds";
    case Phase::kPlatform:
      return platform_reached
                 ? "the first ticket; the platform is reachable and has none"
                 : "the platform, or a node listed in [node] seeds";
    case Phase::kPeers:
      return "a reply from a node that the tickets list";
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
