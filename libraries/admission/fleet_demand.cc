#include "libraries/admission/fleet_demand.h"

#include <algorithm>
#include <utility>

namespace agaterun::admission {

namespace {

using decision::AggregateDemand;
using decision::NamedRates;

// An aggregate that is older than the stored one by more than this is ignored.
constexpr Duration kAggregateAgeTolerance = 50ms;

constexpr double kThousandths = 1000;

void AddRates(Demand& total, const std::vector<NamedRates>& reported) {
  for (const auto& [name, thousandths] : reported) {
    auto& rates = total[name];
    for (std::size_t priority = 0; priority < rates.size(); ++priority) {
      rates[priority] += thousandths[priority] / kThousandths;
    }
  }
}

}  // namespace

std::vector<NamedRates> HighestRates(const Demand& demand, std::size_t count) {
  std::vector<std::pair<double, NamedRates>> entries;
  for (const auto& [name, rates] : demand) {
    NamedRates entry{.name = name};
    double sum = 0;
    for (std::size_t priority = 0; priority < rates.size(); ++priority) {
      sum += rates[priority];
      entry.thousandths[priority] =
          static_cast<std::uint32_t>(rates[priority] * kThousandths);
    }
    if (sum > 0) {
      entries.emplace_back(sum, std::move(entry));
    }
  }
  // A heartbeat has limited space; the highest rates matter most.
  std::sort(entries.begin(), entries.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<NamedRates> reported;
  for (auto& [sum, entry] : entries) {
    if (reported.size() < count) {
      reported.push_back(std::move(entry));
    }
  }
  return reported;
}

bool FleetDemand::IsRecent(Instant now, Instant time) const {
  return time != Instant{} && now - time <= this->options.timeout;
}

void FleetDemand::RecordNodeDemand(Instant now,
                                   NodeAddress node,
                                   std::vector<NamedRates> demand) {
  std::erase_if(this->node_reports, [&](const auto& item) {
    return !this->IsRecent(now, item.second.received);
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
  if (this->IsRecent(now, report.created) &&
      created + kAggregateAgeTolerance < report.created) {
    return;
  }
  report = {.created = created, .aggregate = aggregate};
}

int FleetDemand::RecentReportCount(Instant now) const {
  return static_cast<int>(
      std::count_if(this->node_reports.begin(), this->node_reports.end(),
                    [&](const auto& item) {
                      return this->IsRecent(now, item.second.received);
                    }));
}

Demand FleetDemand::ReceivedTotal(Instant now,
                                  const Demand& local_demand) const {
  Demand total = local_demand;
  for (const auto& [node, report] : this->node_reports) {
    if (this->IsRecent(now, report.received)) {
      AddRates(total, report.demand);
    }
  }
  return total;
}

Demand FleetDemand::OwnDomainTotal(Instant now,
                                   const Demand& local_demand) const {
  // In a large failure domain an ordinary node receives reports from some of
  // the others, but an aggregator from all.
  if (this->IsRecent(now, this->own_domain_aggregate.created) &&
      static_cast<int>(this->own_domain_aggregate.aggregate.nodes) >
          this->RecentReportCount(now) + 1) {
    Demand total;
    AddRates(total, this->own_domain_aggregate.aggregate.rates);
    return total;
  }
  return this->ReceivedTotal(now, local_demand);
}

AggregateDemand FleetDemand::OwnDomain(Instant now,
                                       const std::string& own_domain,
                                       const Demand& local_demand) const {
  return {.failure_domain = own_domain,
          .nodes = static_cast<std::uint32_t>(this->RecentReportCount(now)) + 1,
          .rates = HighestRates(this->ReceivedTotal(now, local_demand),
                                this->options.max_reported)};
}

AggregateDemand FleetDemand::ReportedOwnDomain(Instant now) const {
  return this->RecentAggregate(now, this->own_domain_aggregate);
}

AggregateDemand FleetDemand::RecentAggregate(
    Instant now,
    const AggregateReport& report) const {
  if (!this->IsRecent(now, report.created)) {
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
    if (this->IsRecent(now, report.created)) {
      has_domain_aggregates = true;
      AddRates(total, report.aggregate.rates);
    }
  }
  if (!has_domain_aggregates &&
      this->IsRecent(now, this->other_domains_aggregate.created)) {
    AddRates(total, this->other_domains_aggregate.aggregate.rates);
  }
  return total;
}

AggregateDemand FleetDemand::OtherDomainsDemand(Instant now) const {
  AggregateDemand total;
  for (const auto& [domain, report] : this->domain_aggregates) {
    if (this->IsRecent(now, report.created)) {
      total.nodes += report.aggregate.nodes;
      total.age = std::max<Duration>(total.age, now - report.created);
    }
  }
  if (total.nodes == 0) {
    return this->RecentAggregate(now, this->other_domains_aggregate);
  }
  total.rates =
      HighestRates(this->OtherDomainsTotal(now), this->options.max_reported);
  return total;
}

int FleetDemand::ReportingNodes(Instant now) const {
  const int own_domain =
      std::max(this->RecentReportCount(now) + 1,
               static_cast<int>(this->ReportedOwnDomain(now).nodes));
  return own_domain + static_cast<int>(this->OtherDomainsDemand(now).nodes);
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
