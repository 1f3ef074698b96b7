#include "libraries/decision/endpoint_subset.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Members that each proximity may have before the others got theirs. Half is
// near, where nearly all requests go; a sixth is in other regions, so that an
// origin whose own region is gone still has somewhere to go.
constexpr std::array<std::size_t, kProximityCount> kQuotas = {12, 8, 4};

struct Ranked {
  SubsetMember member;
  std::uint64_t rank = 0;
};

// Rendezvous hash: each pair of origin and endpoint has a rank of its own, so
// an endpoint that comes or goes changes no other member's place.
std::uint64_t RankOf(NodeAddress origin, NodeAddress endpoint) {
  constexpr std::uint64_t kFirstMultiplier = 0xff51afd7ed558ccd;
  constexpr std::uint64_t kSecondMultiplier = 0xc4ceb9fe1a85ec53;
  constexpr int kShift = 33;
  std::uint64_t mixed = std::hash<NodeAddress>()(origin) * kFirstMultiplier;
  mixed ^= std::hash<NodeAddress>()(endpoint);
  mixed ^= mixed >> kShift;
  mixed *= kFirstMultiplier;
  mixed ^= mixed >> kShift;
  mixed *= kSecondMultiplier;
  return mixed ^ (mixed >> kShift);
}

Proximity ProximityOf(const EndpointState& endpoint,
                      const SubsetOrigin& origin) {
  if (endpoint.region != origin.region) {
    return Proximity::kElsewhere;
  }
  return endpoint.failure_domain == origin.failure_domain
             ? Proximity::kFailureDomain
             : Proximity::kRegion;
}

}  // namespace

std::vector<SubsetMember> ChooseSubset(
    const std::vector<EndpointState>& endpoints,
    const SubsetOrigin& origin) {
  std::vector<Ranked> ranked;
  for (const auto& endpoint : endpoints) {
    ranked.push_back({.member = {.endpoint = &endpoint,
                                 .proximity = ProximityOf(endpoint, origin)},
                      .rank = RankOf(origin.self, endpoint.node)});
  }
  std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
    return std::pair(a.member.proximity, a.rank) <
           std::pair(b.member.proximity, b.rank);
  });
  std::vector<SubsetMember> chosen;
  std::vector<SubsetMember> spare;
  std::array<std::size_t, kProximityCount> taken = {};
  for (const auto& [member, rank] : ranked) {
    const auto place = static_cast<std::size_t>(member.proximity);
    auto& list = taken[place] < kQuotas[place] ? chosen : spare;
    ++taken[place];
    list.push_back(member);
  }
  // What one proximity lacks goes to the nearest that have more.
  for (const auto& member : spare) {
    if (chosen.size() >= kSubsetSize) {
      break;
    }
    chosen.push_back(member);
  }
  std::stable_sort(
      chosen.begin(), chosen.end(),
      [](const auto& a, const auto& b) { return a.proximity < b.proximity; });
  return chosen;
}

}  // namespace agaterun::decision
