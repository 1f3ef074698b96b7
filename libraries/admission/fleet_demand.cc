#include "libraries/admission/fleet_demand.h"

#include <algorithm>
#include <utility>

namespace agaterun::admission {

namespace {

using decision::AggregateDemand;
using decision::RouteDemand;

// Demand expires when it has not been reported again for this long.
constexpr Duration kDemandTimeout = 1500ms;

// An aggregate that is older than the stored one by more than this is ignored.
constexpr Duration kAggregateAgeTolerance = 50ms;

constexpr double kMillirequestsPerRequest = 1000;
constexpr std::size_t kMaxReportedRoutes = 14;

void AddRoutes(Demand& total, const std::vector<RouteDemand>& routes) {
  for (const auto& [route, millirequests_per_second] : routes) {
    auto& rates = total[route];
    for (std::size_t priority = 0; priority < rates.size(); ++priority) {
      rates[priority] +=
          millirequests_per_second[priority] / kMillirequestsPerRequest;
    }
  }
}

bool IsRecent(Instant now, Instant time) {
  return time != Instant{} && now - time <= kDemandTimeout;
}

}  // namespace

std::vector<RouteDemand> TopRouteDemand(const Demand& demand) {
  std::vector<std::pair<double, RouteDemand>> routes;
  for (const auto& [route, rates] : demand) {
    RouteDemand entry{.route = route};
    double sum = 0;
    for (std::size_t priority = 0; priority < rates.size(); ++priority) {
      sum += rates[priority];
      entry.millirequests_per_second[priority] = static_cast<std::uint32_t>(
          rates[priority] * kMillirequestsPerRequest);
    }
    if (sum > 0) {
      routes.emplace_back(sum, std::move(entry));
    }
  }
  // A heartbeat has limited space; the routes with the most requests matter
  // most.
  std::sort(routes.begin(), routes.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<RouteDemand> reported;
  for (auto& [sum, entry] : routes) {
    if (reported.size() < kMaxReportedRoutes) {
      reported.push_back(std::move(entry));
    }
  }
  return reported;
}

void FleetDemand::RecordNodeDemand(Instant now,
                                   NodeAddress node,
                                   std::vector<RouteDemand> demand) {
  std::erase_if(this->node_reports, [&](const auto& item) {
    return !IsRecent(now, item.second.received);
  });
  this->node_reports[node] = {.received = now, .demand = std::move(demand)};
}

void FleetDemand::RecordAggregate(Instant now,
                                  const std::string& own_domain,
                                  const AggregateDemand& aggregate) {
  const auto created = now - aggregate.age;
  auto& report = aggregate.failure_domain.empty()
                     ? this->other_domains_aggregate
                 : aggregate.failure_domain == own_domain
                     ? this->own_domain_aggregate
                     : this->domain_aggregates[aggregate.failure_domain];
  if (IsRecent(now, report.created) &&
      created + kAggregateAgeTolerance < report.created) {
    return;
  }
  report = {.created = created, .aggregate = aggregate};
}

int FleetDemand::RecentReportCount(Instant now) const {
  return static_cast<int>(std::count_if(
      this->node_reports.begin(), this->node_reports.end(),
      [&](const auto& item) { return IsRecent(now, item.second.received); }));
}

Demand FleetDemand::ReceivedTotal(Instant now,
                                  const Demand& local_demand) const {
  Demand total = local_demand;
  for (const auto& [node, report] : this->node_reports) {
    if (IsRecent(now, report.received)) {
      AddRoutes(total, report.demand);
    }
  }
  return total;
}

Demand FleetDemand::OwnDomainTotal(Instant now,
                                   const Demand& local_demand) const {
  // In a large failure domain an ordinary node receives reports from some of
  // the others, but an aggregator from all.
  if (IsRecent(now, this->own_domain_aggregate.created) &&
      static_cast<int>(this->own_domain_aggregate.aggregate.nodes) >
          this->RecentReportCount(now) + 1) {
    Demand total;
    AddRoutes(total, this->own_domain_aggregate.aggregate.routes);
    return total;
  }
  return this->ReceivedTotal(now, local_demand);
}

AggregateDemand FleetDemand::OwnDomain(Instant now,
                                       const std::string& own_domain,
                                       const Demand& local_demand) const {
  return {.failure_domain = own_domain,
          .nodes = static_cast<std::uint32_t>(this->RecentReportCount(now)) + 1,
          .routes = TopRouteDemand(this->ReceivedTotal(now, local_demand))};
}

AggregateDemand FleetDemand::ReportedOwnDomain(Instant now) const {
  return RecentAggregate(now, this->own_domain_aggregate);
}

AggregateDemand FleetDemand::RecentAggregate(Instant now,
                                             const AggregateReport& report) {
  if (!IsRecent(now, report.created)) {
    return {};
  }
  auto aggregate = report.aggregate;
  aggregate.age = now - report.created;
  return aggregate;
}

Demand FleetDemand::OtherDomainsTotal(Instant now) const {
  Demand total;
  bool has_domain_aggregates = false;
  for (const auto& [domain, report] : this->domain_aggregates) {
    if (IsRecent(now, report.created)) {
      has_domain_aggregates = true;
      AddRoutes(total, report.aggregate.routes);
    }
  }
  if (!has_domain_aggregates &&
      IsRecent(now, this->other_domains_aggregate.created)) {
    AddRoutes(total, this->other_domains_aggregate.aggregate.routes);
  }
  return total;
}

AggregateDemand FleetDemand::OtherDomainsDemand(Instant now) const {
  AggregateDemand total;
  for (const auto& [domain, report] : this->domain_aggregates) {
    if (IsRecent(now, report.created)) {
      total.nodes += report.aggregate.nodes;
      total.age = std::max<Duration>(total.age, now - report.created);
    }
  }
  if (total.nodes == 0) {
    return RecentAggregate(now, this->other_domains_aggregate);
  }
  total.routes = TopRouteDemand(this->OtherDomainsTotal(now));
  return total;
}

Demand FleetDemand::Total(Instant now, const Demand& local_demand) const {
  auto total = this->OwnDomainTotal(now, local_demand);
  for (const auto& [route, rates] : this->OtherDomainsTotal(now)) {
    auto& total_rates = total[route];
    for (std::size_t priority = 0; priority < total_rates.size(); ++priority) {
      total_rates[priority] += rates[priority];
    }
  }
  return total;
}

}  // namespace agaterun::admission
