#ifndef LIBRARIES_DECISION_NODE_H_
#define LIBRARIES_DECISION_NODE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/gate.h"
#include "libraries/decision/mechanism.h"
#include "libraries/decision/origin.h"
#include "libraries/decision/peer_table.h"
#include "libraries/decision/ticket_gossip.h"

namespace agaterun::decision {

// Makes all decisions of one node, without clock, thread, socket or log. The
// driver passes in every event with its instant and carries out the resulting
// actions.
//
// Instants must not decrease. The driver passes one event at a time. Code on
// the request path that runs outside the node reads the published state only.
class Node {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    std::string service;  // Of the backend server on this host; may be empty.
    std::vector<NodeAddress> seeds;
    // Disabled mechanisms, to measure the effect of each.
    MechanismSet disabled = {};
  };

  // `random` must outlive the node.
  Node(Options options, RandomSource& random);

  // Must be called first. Requests the first reads and the first wake-up.
  void Start(Instant now, Actions& actions);

  // Handles one event and appends the resulting actions.
  void Handle(Instant now, const Event& event, Actions& actions);

  const std::shared_ptr<const TicketState>& State() const;
  const PeerTable& Peers() const { return this->peers; }
  const Gate& LocalGate() const { return this->gate; }
  // The gate's admission threshold at `now`.
  AdmissionThreshold Threshold(Instant now) {
    return this->gate.Threshold(now);
  }
  const Origin& LocalOrigin() const { return this->origin; }
  const TicketGossip& Gossip() const { return this->gossip; }
  bool IsStopping() const { return this->is_stopping; }

 private:
  void Dispatch(Instant now, const CallArrived& event, Actions& actions);
  void Dispatch(Instant now, const CallerDisconnected& event, Actions& actions);
  void Dispatch(Instant now, const AttemptReplied& event, Actions& actions);
  void Dispatch(Instant now, const AttemptLost& event, Actions& actions);
  void Dispatch(Instant now, const VisitArrived& event, Actions& actions);
  void Dispatch(Instant now, const VisitCancelled& event, Actions& actions);
  void Dispatch(Instant now, const BackendResponded& event, Actions& actions);
  void Dispatch(Instant now, const BackendFailed& event, Actions& actions);
  void Dispatch(Instant now, const BackendReachable& event, Actions& actions);
  void Dispatch(Instant now, const HeartbeatReceived& event, Actions& actions);
  void Dispatch(Instant now, const DigestReceived& event, Actions& actions);
  void Dispatch(Instant now,
                const TicketItemsReceived& event,
                Actions& actions);
  void Dispatch(Instant now,
                const TicketItemsRequested& event,
                Actions& actions);
  void Dispatch(Instant now, const TicketPublished& event, Actions& actions);
  void Dispatch(Instant now, const PlatformReadEnded& event, Actions& actions);
  void Dispatch(Instant now, const HostListReceived& event, Actions& actions);
  void Dispatch(Instant now, const StopRequested& event, Actions& actions);
  void Dispatch(Instant now, const Tick& event, Actions& actions);

  // Starts a planned stop once the platform lists this host as leaving.
  void StopIfListedAsLeaving(Instant now, Actions& actions);

  // Passes a changed state to the gate and the origin.
  void DistributeState(Instant now);

  // Reports when a planned stop is complete, and requests the next wake-up.
  void FinishEvent(Instant now, Actions& actions);

  Options options;
  PeerTable peers;
  Gate gate;
  Origin origin;
  TicketGossip gossip;
  std::shared_ptr<const TicketState> distributed_state;
  std::optional<Instant> requested_wake;
  bool is_stopping = false;
  bool has_drained = false;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_NODE_H_
