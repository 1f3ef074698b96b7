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
#include "libraries/admission/utilization_correction.h"
#include "libraries/base/random.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::admission {

// Admission control at the entry of a call graph. Each node measures the demand
// of its callers, reports it to the other nodes, and compares the slot time
// that the demand of the whole fleet needs at the services on its path with the
// slots of these services. Demand is admitted by priority; of the priority that
// no longer fits completely, an even fraction is admitted. All nodes compute
// the same result from the same figures, so no coordinator is needed.
class EntryAdmission {
 public:
  // A request of a caller.
  struct Request {
    std::string_view route;
    int rank = 0;  // decision::RankOf().
    Duration target_latency{};
    // Time left until the caller's deadline; nothing if it has sent none.
    std::optional<Duration> deadline;
  };

  struct Verdict {
    bool admitted = true;
    decision::DemandKind demand_kind = decision::DemandKind::kNew;
    // Time after which a refused caller should retry.
    Duration retry_after{};
    // The service that lacks free slots; empty if the request is admitted.
    std::string service;
  };

  // `random` must outlive this object.
  explicit EntryAdmission(RandomSource& random) : random(random) {}

  Verdict Decide(Instant now, const Request& request);

  // Records the slot times and the latency of a completed request. Failed
  // requests only count until a request of the route succeeds.
  void RecordCompletion(std::string_view route,
                        const std::vector<decision::ServiceCost>& service_costs,
                        Duration latency,
                        bool succeeded);

  // Slots of a service, from the load reports of its nodes.
  struct Capacity {
    double slots = 0;  // Of nodes that can be used.
    double used = 0;   // By running and queued requests.
  };
  using Capacities = std::map<std::string, Capacity, std::less<>>;
  void SetCapacity(Capacities capacities) {
    this->capacity = std::move(capacities);
  }

  // Demand of the callers of other nodes, as these nodes reported it.
  FleetDemand& PeerDemand() { return this->fleet_demand; }

  // Demand of the callers of this node.
  Demand LocalDemand(Instant now);

  // Recomputes the fractions of requests that are admitted.
  void Update(Instant now);

  // A route of which only a fraction of the requests is admitted, for the log.
  struct ThrottledRoute {
    std::string route;
    std::string service;  // Limits the route most.
    double share = 1;     // Smallest admitted fraction of all priorities.
    double capacity = 0;  // Slots of that service.
    double used = 0;      // Slots in use, by running and queued requests.
    double planned = 0;   // Slots that the admitted requests need.
  };
  std::vector<ThrottledRoute> ThrottledRoutes() const;

  // Admitted fraction of the requests of a route and demand priority.
  double AdmittedFraction(std::string_view route, int priority) const;

 private:
  using Rates = PriorityRates;

  // Measures requests per second over a sliding window of time slices.
  class RateMeter {
   public:
    void Add(Instant now, int priority);
    Rates Rate(Instant now);

   private:
    void Advance(Instant now);

    static constexpr std::size_t kSlices = 8;
    std::array<Rates, kSlices> slices{};
    std::int64_t current_slice = 0;
    std::int64_t first_slice = -1;
  };

  // Admitted fractions of a route's requests, by demand priority.
  struct RouteAdmission {
    Rates fractions{};
    std::string limiting_service;
  };

  using SlotsByService = std::map<std::string, double, std::less<>>;

  // Admits the demand of one priority as far as it fits, by the same rule for
  // all routes, and subtracts the slots that it needs from `available`.
  void AdmitPriority(const Demand& demand,
                     std::size_t priority,
                     SlotsByService& available);

  decision::DemandKind DemandKindOf(const Request& request,
                                    const RouteCosts::Costs& route_costs) const;
  Duration DrawRetryAfter(const Request& request,
                          const RouteCosts::Costs& route_costs);
  RandomSource& random;
  RouteCosts costs;
  Capacities capacity;
  SlotsByService planned;
  UtilizationCorrection utilization_correction;
  std::map<std::string, RateMeter, std::less<>> local_meters;  // By route.
  FleetDemand fleet_demand;
  std::map<std::string, RouteAdmission, std::less<>> admissions;  // By route.
  // Sum of the admitted fractions, by route and demand priority. A request is
  // admitted when the sum reaches 1, which spaces admitted requests evenly and
  // needs no random draw per request.
  std::unordered_map<std::string, Rates> fraction_sums;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_ENTRY_ADMISSION_H_
