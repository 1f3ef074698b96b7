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

// Chooses the node that gets the next request of a service: the one with the
// least expected time until its answer.
class EndpointChooser {
 public:
  struct Options {
    NodeAddress self;
    std::string failure_domain;
  };

  // Both outlive the chooser.
  EndpointChooser(Options options,
                  membership::Fleet& fleet,
                  RandomSource& random)
      : options(std::move(options)), fleet(fleet), random(random) {}

  struct Query {
    std::string_view service;
    std::span<const NodeAddress> excluded;
    // Leaves out nodes whose slots are taken.
    bool needs_free_slot = false;
    // Of the answer, as far as is known.
    double response_bytes = 0;
    // Within which the answer is wanted.
    Duration target_latency{};
  };

  // Nothing when no node of the service may be used.
  std::optional<NodeAddress> Choose(Instant now, const Query& query);

  // Slots of the service at nodes that may be used.
  double UsableSlots(Instant now, std::string_view service);

  // Part of these slots that is taken, by requests that wait as well.
  double UtilizationOf(Instant now, std::string_view service);

  // Share of failures among the answers of the service's usable nodes.
  double FailureShare(Instant now, std::string_view service);

 private:
  bool MayUse(Instant now, const membership::FleetNode& node) const;
  // Nothing speaks against the node being there.
  bool IsReachable(Instant now, const membership::FleetNode& node) const;
  bool IsInOwnDomain(const membership::FleetNode& node) const {
    return node.failure_domain == this->options.failure_domain;
  }

  // What is usual among the endpoints of a service.
  struct Usual {
    double service_seconds = 0;
    double use = 0;  // Share of the slots that are taken.
    // What the answer's way from another failure domain is worth.
    double transfer_seconds = 0;
  };
  Usual UsualOf(Instant now,
                std::span<const membership::FleetNode* const> nodes) const;

  // Expected seconds until an answer of the node, and what speaks against it.
  double CostOf(Instant now,
                const membership::FleetNode& node,
                const Usual& usual) const;

  // The nodes to compare: all that may be used, or some of many, most of them
  // in this failure domain. Leaves out full ones when `room_at_use` is given.
  std::vector<const membership::FleetNode*> Candidates(
      Instant now,
      std::span<membership::FleetNode* const> nodes,
      std::span<const NodeAddress> excluded,
      std::optional<double> room_at_use);

  Options options;
  membership::Fleet& fleet;
  RandomSource& random;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_ENDPOINT_CHOOSER_H_
