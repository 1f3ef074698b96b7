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

// Requests a second by rank.
using RankRates = std::array<double, decision::kDemandPriorities>;

// By route.
using Demand = std::map<std::string, RankRates, std::less<>>;

// The routes with most demand, as a heartbeat has room for.
std::vector<decision::RouteDemand> TopRouteDemand(const Demand& demand);

// What callers of the whole fleet ask for, put together from this node's own
// part, those that nodes of its failure domain told, and sums that speakers of
// failure domains made. Each node's part counts once: within the domain it is
// known by node, elsewhere only the youngest sum of all others is taken.
class FleetDemand {
 public:
  // A node of this failure domain told its part.
  void RecordNodeDemand(Instant now,
                        NodeAddress node,
                        std::vector<decision::RouteDemand> demand);
  // A node told a sum over a failure domain, or over all but the own one.
  // One of `own_domain` counts while it covers more nodes than were heard here.
  void RecordAggregate(Instant now,
                       const std::string& own_domain,
                       const decision::AggregateDemand& sum);

  // Over this failure domain, with this node's own part.
  decision::AggregateDemand OwnDomain(Instant now,
                                      const std::string& own_domain,
                                      const Demand& own) const;
  // The same as a speaker told it; of no nodes when none is known.
  decision::AggregateDemand ReportedOwnDomain(Instant now) const;
  // Over all other failure domains; of no nodes when none is known.
  decision::AggregateDemand OtherDomainsDemand(Instant now) const;

  // Of the whole fleet, with this node's own part.
  Demand Total(Instant now, const Demand& own) const;

 private:
  struct Part {
    Instant told{};
    std::vector<decision::RouteDemand> demand;
  };
  struct Sum {
    Instant made{};
    decision::AggregateDemand sum;
  };

  // The sum with its age; of no nodes when it is too old.
  static decision::AggregateDemand Held(Instant now, const Sum& held);
  int FreshParts(Instant now) const;
  // This node's part and those that others told.
  Demand HeardTotal(Instant now, const Demand& own) const;
  // Of the failure domain, by whichever account covers more nodes.
  Demand NearTotal(Instant now, const Demand& own) const;
  // The youngest account of other failure domains: the speakers' own words
  // when there are any, or what another node made of them.
  Demand FarTotal(Instant now) const;

  std::unordered_map<NodeAddress, Part> parts;
  std::map<std::string, Sum> domains;  // Other ones, by their speakers.
  Sum elsewhere;                       // As another node told it.
  Sum near;                            // Of the own domain, by a speaker.
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_FLEET_DEMAND_H_
