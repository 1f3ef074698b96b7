#ifndef LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_
#define LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_

#include <string>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/membership/fleet.h"

namespace agaterun::membership {

// What a heartbeat contains in addition to the sender's load.
enum class HeartbeatKind : std::uint8_t {
  kSameDomain,   // To a node of this failure domain: the demand of callers.
  kAggregator,   // Between aggregators of failure domains: their total demand.
  kOtherDomain,  // To a node of another failure domain: only that the sender is
                 // up.
};

struct HeartbeatTarget {
  NodeAddress node;
  HeartbeatKind kind = HeartbeatKind::kSameDomain;
  bool wants_reply = false;  // Set if it has not reported recently.
};

// Chooses the nodes that receive this node's heartbeats. Within a failure
// domain of limited size these are all nodes. Few go to other failure domains,
// since messages between them cost more.
class HeartbeatPlan {
 public:
  // `random` must outlive the plan.
  HeartbeatPlan(NodeAddress self, RandomSource& random)
      : self(self), random(random) {}

  // Targets of the heartbeats due now; called at each heartbeat interval.
  // `waiting` are the origins of requests that run here.
  std::vector<HeartbeatTarget> Next(Instant now,
                                    const Fleet& fleet,
                                    const std::vector<NodeAddress>& waiting);

 private:
  void AddOwnDomainNodes(Instant now,
                         const Fleet& fleet,
                         std::vector<HeartbeatTarget>& targets);
  void AddOtherDomainNodes(const Fleet& fleet,
                           std::vector<HeartbeatTarget>& targets);
  void AddLostNodes(const Fleet& fleet, std::vector<HeartbeatTarget>& targets);

  NodeAddress self;
  RandomSource& random;
  int rounds = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_
