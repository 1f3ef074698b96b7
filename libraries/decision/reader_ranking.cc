#include "libraries/decision/reader_ranking.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr int kReadersPerDomain = 2;

bool MayRead(Instant now,
             NodeAddress node,
             const PeerTable& peers,
             Instant listening_since) {
  const auto* peer = peers.Find(node);
  if (peer != nullptr && peer->load.leaving) {
    return false;
  }
  if (now - listening_since < kPeerSilence) {
    return true;
  }
  return peer != nullptr && peer->last_contact != Instant{} &&
         now - peer->last_contact < kPeerSilence;
}

}  // namespace

ReaderRole RankReader(Instant now,
                      NodeAddress self,
                      const std::vector<NodeAddress>& candidates,
                      const PeerTable& peers,
                      Instant listening_since) {
  const auto place = std::find(candidates.begin(), candidates.end(), self);
  if (place == candidates.end()) {
    return ReaderRole::kNone;
  }
  const auto may_read = [&](NodeAddress node) {
    return MayRead(now, node, peers, listening_since);
  };
  const auto better = std::count_if(candidates.begin(), place, may_read);
  if (better >= kReadersPerDomain) {
    return ReaderRole::kStandby;
  }
  // A watch whose connection was cut silently looks like one without news, so
  // nobody watches unless somebody else polls.
  const bool has_poller = std::any_of(place + 1, candidates.end(), may_read);
  return better == 0 && has_poller ? ReaderRole::kWatcher : ReaderRole::kPoller;
}

}  // namespace agaterun::decision
