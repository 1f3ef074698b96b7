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

// All decisions of one node, without clock, thread, socket or log. The driver
// hands in every event with its instant and carries out the actions.
//
// Instants never go back. The driver calls one event at a time; what the
// request path reads by itself, it reads from the published state.
class Node {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    std::string service;  // Of the backend server on this host; may be empty.
    std::vector<NodeAddress> seeds;
    // Switched off, to measure what each is worth.
    MechanismSet disabled = {};
  };

  // `random` outlives the node.
  Node(Options options, RandomSource& random);

  // First call: asks for the first reads and the first wake-up.
  void Start(Instant now, Actions& actions);

  // Takes one event and appends what is to be done.
  void Handle(Instant now, const Event& event, Actions& actions);

  const std::shared_ptr<const TicketState>& State() const;
  const PeerTable& Peers() const { return this->peers; }
  const Gate& GateSide() const { return this->gate; }
  // What the gate admits at `now`.
  AdmissionThreshold Threshold(Instant now) {
    return this->gate.Threshold(now);
  }
  const Origin& OriginSide() const { return this->origin; }
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
  void Dispatch(Instant now, const TicketItemsRequested& event, Actions& actions);
  void Dispatch(Instant now, const TicketPublished& event, Actions& actions);
  void Dispatch(Instant now, const PlatformReadEnded& event, Actions& actions);
  void Dispatch(Instant now, const HostListReceived& event, Actions& actions);
  void Dispatch(Instant now, const StopRequested& event, Actions& actions);
  void Dispatch(Instant now, const Tick& event, Actions& actions);

  // Begins to leave once the platform lists this host as leaving.
  void StopIfListedAsLeaving(Instant now, Actions& actions);

  // Passes a changed state on to both sides.
  void DistributeState(Instant now);

  // Asks for the next wake-up, or reports that a stop is complete.
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
