#ifndef LIBRARIES_ROUTING_ENDPOINT_CHOOSER_H_
#define LIBRARIES_ROUTING_ENDPOINT_CHOOSER_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/membership/fleet.h"

namespace agaterun::routing {

// Chooses the node for the next request of a service: the one with the lowest
// expected time until its response.
class EndpointChooser {
 public:
  struct Options {
    NodeAddress self;
    std::string failure_domain;
  };

  // `fleet` and `random` must outlive the chooser.
  EndpointChooser(Options options,
                  membership::Fleet& fleet,
                  RandomSource& random)
      : options(std::move(options)), fleet(fleet), random(random) {}

  struct Query {
    std::string_view service;
    std::span<const NodeAddress> excluded;
    // Excludes nodes without a free slot.
    bool needs_free_slot = false;
    // Expected size of the response; 0 if unknown.
    double response_bytes = 0;
    // Time within which the response should arrive.
    Duration target_latency{};
  };

  // Returns nothing if no node of the service is usable.
  std::optional<NodeAddress> Choose(Instant now, const Query& query);

  // Number of slots of the service at usable and reachable nodes.
  double UsableSlots(Instant now, std::string_view service);

  // Mean utilization of the slots of the service at usable nodes. Queued
  // requests count as well, so it can exceed 1.
  double UtilizationOf(Instant now, std::string_view service);

  // Mean failure ratio of the responses of the service's usable nodes.
  double MeanFailureRatio(Instant now, std::string_view service);

 private:
  // True if the node may get a request now, be it only to probe it.
  bool IsUsable(Instant now, const membership::FleetNode& node) const;
  // True unless an attempt was lost at the node after its last message, or its
  // last message is too old.
  bool IsReachable(Instant now, const membership::FleetNode& node) const;
  bool IsInOwnDomain(const membership::FleetNode& node) const {
    return node.failure_domain == this->options.failure_domain;
  }

  // Means over the endpoints of a service.
  struct ServiceMeans {
    double service_seconds = 0;
    double utilization = 0;
    // Cost of the response's transfer from another failure domain.
    double transfer_seconds = 0;
  };
  ServiceMeans MeansOf(
      Instant now,
      std::span<const membership::FleetNode* const> nodes) const;

  // Expected seconds until a response of the node, with penalties for
  // utilization, failures and the transfer between failure domains.
  double CostOf(Instant now,
                const membership::FleetNode& node,
                const ServiceMeans& means) const;

  // The nodes to compare: all usable ones or, if there are many, a random
  // sample that prefers this failure domain. Nodes without a free slot
  // are excluded if `mean_utilization` of the service is given, which the
  // estimate of their load needs.
  std::vector<const membership::FleetNode*> Candidates(
      Instant now,
      std::span<membership::FleetNode* const> nodes,
      std::span<const NodeAddress> excluded,
      std::optional<double> mean_utilization);

  Options options;
  membership::Fleet& fleet;
  RandomSource& random;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_ENDPOINT_CHOOSER_H_
