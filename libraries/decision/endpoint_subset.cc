#include "libraries/decision/endpoint_subset.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

// Members that each proximity gets before spare places are filled. Half are in
// the origin's failure domain, which receives nearly all requests. A sixth are
// in other regions, so that an origin whose own region has failed still has
// endpoints.
constexpr std::array<std::size_t, kProximityCount> kQuotas = {12, 8, 4};

struct Ranked {
  SubsetMember member;
  std::uint64_t rank = 0;
};

// Rendezvous hash. The rank depends only on the pair of origin and endpoint, so
// adding or removing an endpoint doesn't change the rank of any other.
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
    return Proximity::kOtherRegion;
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
  std::array<std::size_t, kProximityCount> counts = {};
  for (const auto& [member, rank] : ranked) {
    const auto index = static_cast<std::size_t>(member.proximity);
    auto& list = counts[index] < kQuotas[index] ? chosen : spare;
    ++counts[index];
    list.push_back(member);
  }
  // Places that one proximity can't fill go to the nearest spare endpoints.
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
