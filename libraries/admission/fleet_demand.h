#ifndef LIBRARIES_ADMISSION_FLEET_DEMAND_H_
#define LIBRARIES_ADMISSION_FLEET_DEMAND_H_

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::admission {

// Rates of one route or client account, see decision::NamedRates. For a route:
// requests per second, by demand priority.
using PriorityRates = std::array<double, decision::kDemandPriorities>;

// Rates by route or by client account.
using Demand = std::map<std::string, PriorityRates, std::less<>>;

// Entries that a heartbeat has space for.
inline constexpr std::size_t kMaxReportedRoutes = 14;

// The `count` entries with the highest rates.
std::vector<decision::NamedRates> HighestRates(
    const Demand& demand,
    std::size_t count = kMaxReportedRoutes);

// Demand of the callers of the whole fleet, composed of the demand at this
// node, the demand that other nodes of its failure domain report, and
// aggregates of whole failure domains that their aggregators report. The demand
// of each node counts once: within the failure domain it is stored by node, and
// of the other failure domains only the latest aggregates are used.
class FleetDemand {
 public:
  struct Options {
    std::size_t max_reported = kMaxReportedRoutes;  // Entries of an aggregate.
    Duration timeout = 1500ms;  // After which a report is dropped.
  };

  explicit FleetDemand(Options options) : options(options) {}
  FleetDemand() : FleetDemand(Options{}) {}

  // Stores the demand that a node of this failure domain reported.
  void RecordNodeDemand(Instant now,
                        NodeAddress node,
                        std::vector<decision::NamedRates> demand);
  // Stores an aggregate that a node reported, of one failure domain or, if its
  // failure domain is empty, of all but this one. An aggregate of `own_domain`
  // is used while it covers more nodes than have reported to this node
  // directly.
  void RecordAggregate(Instant now,
                       const std::string& own_domain,
                       const decision::AggregateDemand& aggregate);

  // Demand of this failure domain, including `local_demand`, the demand at this
  // node.
  decision::AggregateDemand OwnDomain(Instant now,
                                      const std::string& own_domain,
                                      const Demand& local_demand) const;
  // Demand of this failure domain as reported by an aggregator; `nodes` is 0 if
  // there is no recent report.
  decision::AggregateDemand ReportedOwnDomain(Instant now) const;
  // Demand of all other failure domains; `nodes` is 0 if there is no recent
  // report.
  decision::AggregateDemand OtherDomainsDemand(Instant now) const;

  // Nodes whose demand is in the total, including this node.
  int ReportingNodes(Instant now) const;

  // Demand of the whole fleet, including `local_demand`, the demand at this
  // node.
  Demand Total(Instant now, const Demand& local_demand) const;

 private:
  struct NodeReport {
    Instant received{};
    std::vector<decision::NamedRates> demand;
  };
  struct AggregateReport {
    Instant created{};
    decision::AggregateDemand aggregate;
  };

  bool IsRecent(Instant now, Instant time) const;
  // The aggregate with its current age; `nodes` is 0 if it is too old.
  decision::AggregateDemand RecentAggregate(
      Instant now,
      const AggregateReport& report) const;
  int RecentReportCount(Instant now) const;
  // Demand at this node and at those that reported to it directly.
  Demand ReceivedTotal(Instant now, const Demand& local_demand) const;
  // Demand of this failure domain: the aggregate or the reports received by
  // this node, whichever covers more nodes.
  Demand OwnDomainTotal(Instant now, const Demand& local_demand) const;
  // Latest demand of the other failure domains: as reported by their
  // aggregators if there are recent reports, otherwise as added up by another
  // node.
  Demand OtherDomainsTotal(Instant now) const;

  Options options;
  std::unordered_map<NodeAddress, NodeReport> node_reports;
  // Other failure domains, as reported by their aggregators.
  std::map<std::string, AggregateReport> domain_aggregates;
  // All other failure domains, as reported by one node.
  AggregateReport other_domains_aggregate;
  // This failure domain, as reported by an aggregator.
  AggregateReport own_domain_aggregate;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_FLEET_DEMAND_H_
