#include "libraries/admission/fleet_demand.h"

#include <algorithm>
#include <utility>

namespace agaterun::admission {

namespace {

using decision::AggregateDemand;
using decision::RouteDemand;

// Demand expires when it has not been reported again for this long.
constexpr Duration kDemandTrusted = 1500ms;

// A sum that is older than the stored one by more than this is ignored.
constexpr Duration kOlder = 50ms;

constexpr double kThousand = 1000;
constexpr std::size_t kMostToldRoutes = 14;

void Add(Demand& total, const std::vector<RouteDemand>& told) {
  for (const auto& [route, millirequests_per_second] : told) {
    auto& ranks = total[route];
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
      ranks[rank] += millirequests_per_second[rank] / kThousand;
    }
  }
}

bool IsFresh(Instant now, Instant made) {
  return made != Instant{} && now - made <= kDemandTrusted;
}

}  // namespace

std::vector<RouteDemand> TopRouteDemand(const Demand& demand) {
  std::vector<std::pair<double, RouteDemand>> routes;
  for (const auto& [route, rates] : demand) {
    RouteDemand entry{.route = route};
    double sum = 0;
    for (std::size_t rank = 0; rank < rates.size(); ++rank) {
      sum += rates[rank];
      entry.millirequests_per_second[rank] =
          static_cast<std::uint32_t>(rates[rank] * kThousand);
    }
    if (sum > 0) {
      routes.emplace_back(sum, std::move(entry));
    }
  }
  // A heartbeat has limited space; the routes with the most requests matter
  // most.
  std::sort(routes.begin(), routes.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<RouteDemand> told;
  for (auto& [sum, entry] : routes) {
    if (told.size() < kMostToldRoutes) {
      told.push_back(std::move(entry));
    }
  }
  return told;
}

void FleetDemand::RecordNodeDemand(Instant now,
                           NodeAddress node,
                           std::vector<RouteDemand> demand) {
  std::erase_if(this->parts, [&](const auto& item) {
    return !IsFresh(now, item.second.told);
  });
  this->parts[node] = {.told = now, .demand = std::move(demand)};
}

void FleetDemand::RecordAggregate(Instant now,
                          const std::string& own_domain,
                          const AggregateDemand& sum) {
  const auto made = now - sum.age;
  auto& held = sum.failure_domain.empty() ? this->elsewhere
               : sum.failure_domain == own_domain
                   ? this->near
                   : this->domains[sum.failure_domain];
  if (IsFresh(now, held.made) && made + kOlder < held.made) {
    return;
  }
  held = {.made = made, .sum = sum};
}

int FleetDemand::FreshParts(Instant now) const {
  return static_cast<int>(std::count_if(
      this->parts.begin(), this->parts.end(),
      [&](const auto& item) { return IsFresh(now, item.second.told); }));
}

Demand FleetDemand::HeardTotal(Instant now, const Demand& own) const {
  Demand total = own;
  for (const auto& [node, part] : this->parts) {
    if (IsFresh(now, part.told)) {
      Add(total, part.demand);
    }
  }
  return total;
}

Demand FleetDemand::NearTotal(Instant now, const Demand& own) const {
  // In a large domain a node hears a part of the others; a speaker hears all.
  if (IsFresh(now, this->near.made) &&
      static_cast<int>(this->near.sum.nodes) > this->FreshParts(now) + 1) {
    Demand total;
    Add(total, this->near.sum.routes);
    return total;
  }
  return this->HeardTotal(now, own);
}

AggregateDemand FleetDemand::OwnDomain(Instant now,
                                 const std::string& own_domain,
                                 const Demand& own) const {
  return {.failure_domain = own_domain,
          .nodes = static_cast<std::uint32_t>(this->FreshParts(now)) + 1,
          .routes = TopRouteDemand(this->HeardTotal(now, own))};
}

AggregateDemand FleetDemand::ReportedOwnDomain(Instant now) const {
  return Held(now, this->near);
}

AggregateDemand FleetDemand::Held(Instant now, const Sum& held) {
  if (!IsFresh(now, held.made)) {
    return {};
  }
  auto sum = held.sum;
  sum.age = now - held.made;
  return sum;
}

Demand FleetDemand::FarTotal(Instant now) const {
  Demand total;
  bool is_known = false;
  for (const auto& [domain, held] : this->domains) {
    if (IsFresh(now, held.made)) {
      is_known = true;
      Add(total, held.sum.routes);
    }
  }
  if (!is_known && IsFresh(now, this->elsewhere.made)) {
    Add(total, this->elsewhere.sum.routes);
  }
  return total;
}

AggregateDemand FleetDemand::OtherDomainsDemand(Instant now) const {
  AggregateDemand sum;
  for (const auto& [domain, held] : this->domains) {
    if (IsFresh(now, held.made)) {
      sum.nodes += held.sum.nodes;
      sum.age = std::max<Duration>(sum.age, now - held.made);
    }
  }
  if (sum.nodes == 0) {
    return Held(now, this->elsewhere);
  }
  sum.routes = TopRouteDemand(this->FarTotal(now));
  return sum;
}

Demand FleetDemand::Total(Instant now, const Demand& own) const {
  auto total = this->NearTotal(now, own);
  for (const auto& [route, rates] : this->FarTotal(now)) {
    auto& ranks = total[route];
    for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
      ranks[rank] += rates[rank];
    }
  }
  return total;
}

}  // namespace agaterun::admission
