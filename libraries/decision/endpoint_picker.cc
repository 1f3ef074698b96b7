#include "libraries/decision/endpoint_picker.h"

#include <algorithm>
#include <unordered_set>

#include "libraries/decision/endpoint_score.h"

namespace agaterun::decision {

namespace {

// Weight of the latest sample in the moving average of a service's latency.
constexpr double kLatencySampleWeight = 0.05;

// Random draws, any of which may find an unusable candidate, before all
// candidates are examined.
constexpr int kMaxRandomDraws = 4;

// Maximum number of peers that are kept although no ticket names them any more.
constexpr std::size_t kMaxUnlistedPeers = 1024;

}  // namespace

EndpointPicker::EndpointPicker(Options options,
                               PeerTable& peers,
                               RandomSource& random)
    : options(std::move(options)), peers(peers), random(random) {}

void EndpointPicker::SetState(const TicketState& state) {
  std::unordered_set<NodeAddress> listed;
  for (const auto& [name, item] : state.items) {
    if (!item.service) {
      continue;
    }
    for (const auto& endpoint : item.service->endpoints) {
      listed.insert(endpoint.node);
    }
  }
  // Candidates hold pointers to peers, which may be removed below, so all of
  // them are chosen again.
  std::erase_if(this->groups, [&](const auto& entry) {
    return state.FindService(entry.first) == nullptr;
  });
  for (auto& [name, group] : this->groups) {
    group.service.reset();
    group.candidates.clear();
  }
  this->peers.RemoveUnlistedPeers(listed, kMaxUnlistedPeers);
}

EndpointPicker::Group& EndpointPicker::UpdatedGroup(
    const std::shared_ptr<const ServiceState>& service) {
  auto& group = this->groups[service->name];
  if (group.service == service) {
    return group;
  }
  group.service = service;
  group.candidates.clear();
  for (const auto& [endpoint, proximity] :
       ChooseSubset(service->endpoints, this->options.origin)) {
    group.candidates.push_back({.node = endpoint->node,
                                .peer = &this->peers.At(endpoint->node),
                                .proximity = proximity});
  }
  return group;
}

void EndpointPicker::Observe(const std::string& service, Duration elapsed) {
  const auto found = this->groups.find(service);
  if (found == this->groups.end()) {
    return;
  }
  auto& typical_latency = found->second.typical_latency;
  if (typical_latency == Duration{}) {
    typical_latency = elapsed;
    return;
  }
  typical_latency += std::chrono::duration_cast<Duration>(
      (elapsed - typical_latency) * kLatencySampleWeight);
}

bool EndpointPicker::MeetsConstraints(Instant now,
                                      const Candidate& candidate,
                                      const Constraints& constraints) const {
  if (UsabilityOf(now, *candidate.peer) == Usability::kUnusable) {
    return false;
  }
  if (constraints.needs_free_slot && !HasCapacity(now, *candidate.peer)) {
    return false;
  }
  const auto& excluded = constraints.excluded;
  return std::find(excluded.begin(), excluded.end(), candidate.node) ==
         excluded.end();
}

EndpointPicker::ScoredCandidate EndpointPicker::PickBestOfTwo(
    Instant now,
    const Group& group,
    std::span<const Candidate> candidates,
    const Constraints& constraints) {
  const auto score = [&](const Candidate* candidate) {
    return ScoredCandidate{
        .candidate = candidate,
        .score = ScoreOf(now, *candidate->peer,
                         {.slots = group.service->slots,
                          .typical_latency = group.typical_latency,
                          .proximity = candidate->proximity})};
  };
  // The first draws are nearly always usable, so the cost of a choice doesn't
  // grow with the number of endpoints.
  std::array<const Candidate*, 2> drawn = {};
  std::size_t count = 0;
  const int draws = candidates.size() > drawn.size() ? kMaxRandomDraws : 0;
  for (int draw = 0; draw < draws && count < drawn.size(); ++draw) {
    const auto& candidate = candidates[this->random.Below(candidates.size())];
    if (&candidate != drawn[0] &&
        this->MeetsConstraints(now, candidate, constraints)) {
      drawn[count++] = &candidate;
    }
  }
  if (count < drawn.size()) {
    this->usable_candidates.clear();
    for (const auto& candidate : candidates) {
      if (this->MeetsConstraints(now, candidate, constraints)) {
        this->usable_candidates.push_back(&candidate);
      }
    }
    count = std::min(drawn.size(), this->usable_candidates.size());
    for (std::size_t index = 0; index < count; ++index) {
      const auto other =
          index + this->random.Below(this->usable_candidates.size() - index);
      std::swap(this->usable_candidates[index], this->usable_candidates[other]);
      drawn[index] = this->usable_candidates[index];
    }
  }
  if (count == 0) {
    return {};
  }
  const auto first = score(drawn[0]);
  if (count == 1) {
    return first;
  }
  const auto second = score(drawn[1]);
  return second.score < first.score ? second : first;
}

std::optional<NodeAddress> EndpointPicker::Pick(
    Instant now,
    const std::shared_ptr<const ServiceState>& service,
    const Constraints& constraints) {
  const auto& group = this->UpdatedGroup(service);
  // Compares the best of two draws from each proximity. The score includes the
  // distance, so requests overflow to more distant endpoints only when the near
  // ones are loaded, and only as far as necessary.
  ScoredCandidate best;
  const std::span<const Candidate> all = group.candidates;
  for (std::size_t begin = 0; begin < all.size();) {
    auto end = begin + 1;
    while (end < all.size() && all[end].proximity == all[begin].proximity) {
      ++end;
    }
    const auto scored = this->PickBestOfTwo(
        now, group, all.subspan(begin, end - begin), constraints);
    if (scored.candidate != nullptr &&
        (best.candidate == nullptr || scored.score < best.score)) {
      best = scored;
    }
    begin = end;
  }
  if (best.candidate == nullptr) {
    return std::nullopt;
  }
  return best.candidate->node;
}

}  // namespace agaterun::decision
