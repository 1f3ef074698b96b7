#include "libraries/decision/reader_ranking.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr int kReadersPerDomain = 2;

bool IsEligibleReader(Instant now,
                      NodeAddress node,
                      const PeerTable& peers,
                      Instant observing_since) {
  const auto* peer = peers.Find(node);
  if (peer != nullptr && peer->load.leaving) {
    return false;
  }
  if (now - observing_since < kHeartbeatTimeout) {
    return true;
  }
  return peer != nullptr && peer->last_contact != Instant{} &&
         now - peer->last_contact < kHeartbeatTimeout;
}

}  // namespace

ReaderRole SelectReaderRole(Instant now,
                            NodeAddress self,
                            const std::vector<NodeAddress>& candidates,
                            const PeerTable& peers,
                            Instant observing_since) {
  const auto position = std::find(candidates.begin(), candidates.end(), self);
  if (position == candidates.end()) {
    return ReaderRole::kNone;
  }
  const auto is_eligible = [&](NodeAddress node) {
    return IsEligibleReader(now, node, peers, observing_since);
  };
  const auto better_candidates =
      std::count_if(candidates.begin(), position, is_eligible);
  if (better_candidates >= kReadersPerDomain) {
    return ReaderRole::kStandby;
  }
  // A watch whose connection was cut without notice looks like one without
  // changes, so a node watches only if another one polls.
  const bool has_poller =
      std::any_of(position + 1, candidates.end(), is_eligible);
  return better_candidates == 0 && has_poller ? ReaderRole::kWatcher
                                              : ReaderRole::kPoller;
}

}  // namespace agaterun::decision
