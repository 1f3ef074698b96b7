#include "libraries/decision/learning.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Seeds are asked one by one, since each answers with all that it has.
constexpr Duration kSeedInterval = 150ms;
constexpr Duration kPeerInterval = 250ms;
constexpr Duration kSeedPatience = 600ms;
constexpr Duration kPeerPatience = 500ms;
// More would only tell the same.
constexpr std::size_t kMostPeersAsked = 6;

}  // namespace

void Learning::Start(Instant now, std::uint64_t first) {
  this->phase = Phase::kSeeds;
  this->next_seed = static_cast<std::size_t>(first);
  this->next_ask = now;
  this->patience_end = now + (this->seeds.empty() ? 0ms : kSeedPatience);
}

void Learning::AskPeers(Instant ask_from, std::vector<NodeAddress> peers) {
  for (const auto seed : this->seeds) {
    if (std::find(peers.begin(), peers.end(), seed) == peers.end()) {
      peers.insert(peers.begin(), seed);
    }
  }
  if (peers.size() > kMostPeersAsked) {
    peers.resize(kMostPeersAsked);
  }
  this->phase = peers.empty() ? Phase::kDone : Phase::kPeers;
  this->unanswered = std::move(peers);
  this->ask_from = ask_from;
  this->next_ask = ask_from;
  this->deadline = ask_from + kPeerPatience;
}

std::vector<NodeAddress> Learning::Step(Instant now) {
  if (this->phase == Phase::kSeeds && now >= this->patience_end) {
    this->phase = Phase::kPlatform;
  }
  if (this->phase == Phase::kPeers && now >= this->deadline) {
    this->phase = Phase::kDone;
  }
  if (this->phase == Phase::kDone || now < this->next_ask) {
    return {};
  }
  if (this->phase == Phase::kPeers) {
    this->next_ask = now + kPeerInterval;
    return this->unanswered;
  }
  this->next_ask = now + kSeedInterval;
  if (this->seeds.empty()) {
    return {};
  }
  return {this->seeds[this->next_seed++ % this->seeds.size()]};
}

void Learning::Answered(Instant now, NodeAddress peer) {
  // What was on its way while this node was frozen is no answer.
  if (this->phase != Phase::kPeers || now < this->ask_from) {
    return;
  }
  std::erase(this->unanswered, peer);
  if (this->unanswered.empty()) {
    this->phase = Phase::kDone;
  }
}

std::string_view Learning::WaitingFor(bool platform_reached) const {
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

std::optional<Instant> Learning::NextWake() const {
  switch (this->phase) {
    case Phase::kSeeds:
      return std::min(this->next_ask, this->patience_end);
    case Phase::kPlatform:
      return this->next_ask;
    case Phase::kPeers:
      return std::min(this->next_ask, this->deadline);
    case Phase::kDone:
      break;
  }
  return std::nullopt;
}

}  // namespace agaterun::decision
