#ifndef LIBRARIES_ADMISSION_ENTRY_ADMISSION_H_
#define LIBRARIES_ADMISSION_ENTRY_ADMISSION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/admission/fleet_demand.h"
#include "libraries/admission/route_costs.h"
#include "libraries/admission/use_correction.h"
#include "libraries/base/random.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::admission {

// Decides at the entry of a call graph which requests begin. Each node counts
// what its callers ask for, tells the others, and holds the slot time that all
// of it takes on its path against the slots that are there: the most important
// ranks go first, and of the rank that no longer fits whole an even part
// begins. All nodes compute the same from the same numbers, so none has to
// decide for others.
class EntryAdmission {
 public:
  // A request of a caller.
  struct Request {
    std::string_view route;
    decision::Importance importance = decision::Importance::kNormal;
    Duration target_latency{};
    // Time that its caller gives; nothing when it did not say.
    std::optional<Duration> deadline;
  };

  struct Verdict {
    bool admitted = true;
    decision::DemandKind demand_kind = decision::DemandKind::kNew;
    // When a refused caller should come back.
    Duration retry_after{};
    // The service that has no room; empty when admitted.
    std::string service;
  };

  // `random` outlives this.
  explicit EntryAdmission(RandomSource& random) : random(random) {}

  Verdict Decide(Instant now, const Request& request);

  // A request of the route was completed with these costs.
  void Learn(std::string_view route,
             const std::vector<decision::ServiceCost>& costs,
             Duration latency,
             bool succeeded);

  // Slots of a service, by what is known of its nodes.
  struct Capacity {
    double slots = 0;  // That can be used.
    double used = 0;   // By requests that run or wait.
  };
  using Capacities = std::map<std::string, Capacity, std::less<>>;
  void SetCapacity(Capacities capacities) {
    this->capacity = std::move(capacities);
  }

  // What the callers of other nodes ask for, as they told it.
  FleetDemand& PeerDemand() { return this->others; }

  // What the callers of this node ask for.
  Demand OwnDemand(Instant now);

  // Computes anew what begins.
  void Update(Instant now);

  // A route of whose requests only a part begins, for the log.
  struct ThrottledRoute {
    std::string route;
    std::string service;  // That has the least room.
    double share = 1;     // Of the rank that is cut most.
    double capacity = 0;  // Slots of that service.
    double used = 0;      // Of them.
    double planned = 0;   // Slots that what begins would take.
  };
  std::vector<ThrottledRoute> ThrottledRoutes() const;

  // Part of the requests of a route and rank that begin.
  double ShareOf(std::string_view route, int rank) const;

 private:
  using Ranks = RankRates;

  // Requests a second over the last moments, in slices of time.
  class Meter {
   public:
    void Add(Instant now, int rank);
    Ranks Rate(Instant now);

   private:
    void Advance(Instant now);

    static constexpr std::size_t kSlices = 8;
    std::array<Ranks, kSlices> slices{};
    std::int64_t current = 0;
    std::int64_t first = -1;
  };

  // What begins of a route.
  struct Admitted {
    Ranks shares{};
    std::string service;  // That has the least room for it.
  };

  using Slots = std::map<std::string, double, std::less<>>;

  // Takes what fits of a rank out of `left`, for all routes alike.
  void AdmitRank(const Demand& demand, std::size_t rank, Slots& left);

  decision::DemandKind StandingOf(const Request& request,
                                  const RouteCosts::Costs& costs) const;
  Duration RetryAfter(const Request& request, const RouteCosts::Costs& costs);
  RandomSource& random;
  RouteCosts costs;
  Capacities capacity;
  Slots planned;
  UseCorrection correction;
  std::map<std::string, Meter, std::less<>> own;
  FleetDemand others;
  std::map<std::string, Admitted, std::less<>> admitted;  // By route.
  // Part of a request that is owed, by route and rank: even parts need no
  // luck.
  std::unordered_map<std::string, Ranks> owed;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_ENTRY_ADMISSION_H_
