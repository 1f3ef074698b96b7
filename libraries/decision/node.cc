#include "libraries/decision/node.h"

#include <algorithm>

namespace agaterun::decision {

Node::Node(Options options, RandomSource& random)
    : options(std::move(options)),
      gate({.self = this->options.self,
            .incarnation = this->options.incarnation,
            .service = this->options.service,
            .disabled = this->options.disabled},
           random),
      origin({.self = this->options.self,
              .incarnation = this->options.incarnation,
              .region = this->options.region,
              .failure_domain = this->options.failure_domain,
              .disabled = this->options.disabled},
             this->gate,
             this->peers,
             random),
      gossip({.self = this->options.self,
              .incarnation = this->options.incarnation,
              .region = this->options.region,
              .failure_domain = this->options.failure_domain,
              .seeds = this->options.seeds},
             this->peers,
             random) {
  this->gate.SetObserver(&this->origin);
}

void Node::Start(Instant now, Actions& actions) {
  this->gossip.Start(now, actions);
  this->FinishEvent(now, actions);
}

const std::shared_ptr<const TicketState>& Node::State() const {
  return this->gossip.State();
}

void Node::Handle(Instant now, const Event& event, Actions& actions) {
  this->gossip.DetectFreeze(now, actions);
  std::visit(
      [&](const auto& concrete) { this->Dispatch(now, concrete, actions); },
      event);
  this->DistributeState(now);
  this->FinishEvent(now, actions);
}

void Node::DistributeState(Instant now) {
  if (this->distributed_state == this->gossip.State()) {
    return;
  }
  this->distributed_state = this->gossip.State();
  this->gate.SetState(now, this->distributed_state);
  this->origin.SetState(this->distributed_state);
}

void Node::FinishEvent(Instant /*now*/, Actions& actions) {
  if (this->is_stopping && !this->has_drained &&
      this->gate.VisitsInFlight() == 0 && this->origin.CallsInFlight() == 0) {
    this->has_drained = true;
    actions.push_back(Drained{});
  }
  std::optional<Instant> next;
  for (const auto next_wake : {this->gate.NextWake(), this->origin.NextWake(),
                               this->gossip.NextWake()}) {
    if (next_wake && (!next || *next_wake < *next)) {
      next = next_wake;
    }
  }
  if (next && next != this->requested_wake) {
    this->requested_wake = next;
    actions.push_back(WakeAt{.instant = *next});
  }
}

void Node::Dispatch(Instant now, const CallArrived& event, Actions& actions) {
  const auto refuse = [&](Reason reason) {
    // With a binding, an earlier copy of the request may have run through
    // another node.
    actions.push_back(RespondToCaller{
        .call = event.call,
        .outcome = event.binding ? Outcome::kUnknown : Outcome::kNotRun,
        .reason = reason});
  };
  if (!this->gossip.Ready()) {
    refuse(Reason::kWaitingForState);
    return;
  }
  // A running request may still need its nested calls while the node drains.
  if (this->is_stopping && !event.parent) {
    refuse(Reason::kLeaving);
    return;
  }
  this->origin.OnCallArrived(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const CallerDisconnected& event,
                    Actions& actions) {
  this->origin.OnCallerDisconnected(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const AttemptReplied& event,
                    Actions& actions) {
  this->origin.OnAttemptReplied(now, event, actions);
}

void Node::Dispatch(Instant now, const AttemptLost& event, Actions& actions) {
  this->origin.OnAttemptLost(now, event, actions);
}

void Node::Dispatch(Instant now, const VisitArrived& event, Actions& actions) {
  this->gate.OnVisitArrived(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const VisitCancelled& event,
                    Actions& actions) {
  this->gate.OnVisitCancelled(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const BackendResponded& event,
                    Actions& actions) {
  this->gate.OnBackendResponded(now, event, actions);
}

void Node::Dispatch(Instant now, const BackendFailed& event, Actions& actions) {
  this->gate.OnBackendFailed(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const BackendReachable& event,
                    Actions& actions) {
  this->gate.OnBackendReachable(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const HeartbeatReceived& event,
                    Actions& actions) {
  this->gossip.OnHeartbeat(now, event, actions);
  this->gate.OnQuarantined(now, event.heartbeat.quarantined);
  this->StopIfListedAsLeaving(now, actions);
}

void Node::Dispatch(Instant now,
                    const DigestReceived& event,
                    Actions& actions) {
  this->gossip.OnDigestReceived(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const TicketItemsReceived& event,
                    Actions& actions) {
  this->gossip.OnItemsReceived(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const TicketItemsRequested& event,
                    Actions& actions) {
  this->gossip.OnItemsRequested(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const TicketPublished& event,
                    Actions& actions) {
  this->gossip.OnTicketPublished(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const PlatformReadEnded& event,
                    Actions& actions) {
  this->gossip.OnPlatformReadEnded(now, event, actions);
}

void Node::Dispatch(Instant now,
                    const HostListReceived& event,
                    Actions& actions) {
  this->gossip.OnHostList(now, event, actions);
  this->StopIfListedAsLeaving(now, actions);
}

void Node::StopIfListedAsLeaving(Instant now, Actions& actions) {
  if (this->is_stopping || !this->gossip.IsListedAsLeaving()) {
    return;
  }
  actions.push_back(Report{.event = LogEvent::kHostLeaving,
                           .subject = this->options.self.ToString(),
                           .detail = "the platform lists it as leaving"});
  this->Dispatch(now, StopRequested{}, actions);
}

void Node::Dispatch(Instant now,
                    const StopRequested& /*event*/,
                    Actions& actions) {
  if (this->is_stopping) {
    return;
  }
  this->is_stopping = true;
  this->gate.StartLeaving(now, actions);
  // Notifies peers immediately instead of with the next heartbeat.
  this->gossip.BroadcastHeartbeat(
      now, this->gate.Load(), this->gate.QuarantinedFingerprints(now), actions);
}

void Node::Dispatch(Instant now, const Tick& /*event*/, Actions& actions) {
  this->requested_wake.reset();
  this->gate.OnTick(now, actions);
  this->origin.OnTick(now, actions);
  this->gossip.OnTick(now, this->gate.Load(),
                      this->gate.QuarantinedFingerprints(now), actions);
}

}  // namespace agaterun::decision
