#ifndef LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_
#define LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_

#include <string>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/membership/fleet.h"

namespace agaterun::membership {

// What a heartbeat is to tell beside the sender's load.
enum class HeartbeatKind : std::uint8_t {
  kSameDomain,   // To a node of this failure domain: demand of callers.
  kAggregator,   // Between speakers of failure domains: their sums.
  kOtherDomain,  // To another failure domain: that this node is there.
};

struct HeartbeatTarget {
  NodeAddress node;
  HeartbeatKind kind = HeartbeatKind::kSameDomain;
  bool wants_reply = false;  // Nothing is known of it lately.
};

// Decides who hears this node. Within a failure domain all hear all, up to a
// size; across failure domains few messages go, since distance costs.
class HeartbeatPlan {
 public:
  // `random` outlives the plan.
  HeartbeatPlan(NodeAddress self, RandomSource& random)
      : self(self), random(random) {}

  // Targets of the heartbeats due now; called at each heartbeat interval.
  // `waiting` are the origins of requests that run here.
  std::vector<HeartbeatTarget> Next(Instant now,
                                    const Fleet& fleet,
                                    const std::vector<NodeAddress>& waiting);

 private:
  void AddNear(Instant now,
               const Fleet& fleet,
               std::vector<HeartbeatTarget>& targets);
  void AddFar(const Fleet& fleet, std::vector<HeartbeatTarget>& targets);
  void AddLost(const Fleet& fleet, std::vector<HeartbeatTarget>& targets);

  NodeAddress self;
  RandomSource& random;
  int rounds = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_HEARTBEAT_PLAN_H_
