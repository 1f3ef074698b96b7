#ifndef LIBRARIES_DECISION_GATE_H_
#define LIBRARIES_DECISION_GATE_H_

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/admission.h"
#include "libraries/decision/binding_table.h"
#include "libraries/decision/events.h"
#include "libraries/decision/mechanism.h"
#include "libraries/decision/parent_visits.h"
#include "libraries/decision/suspect_table.h"
#include "libraries/decision/visit_table.h"

namespace agaterun::decision {

// The part of a node that guards its own backend server: it admits requests,
// manages bindings and sends the final reply to each attempt.
class Gate final : public ParentVisits {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string service;  // Service of the backend server on this host.
    // Mechanisms that are switched off, to measure the effect of each.
    MechanismSet disabled = {};
  };

  // `random` must outlive the gate.
  Gate(Options options, RandomSource& random);

  // Sets the observer that is notified when visits end. Must be set once,
  // before the first event.
  void SetObserver(VisitObserver* observer) { this->observer = observer; }

  // Sets the ticket state that applies to visits that arrive from now on.
  void SetState(Instant now, std::shared_ptr<const TicketState> state);

  void OnVisitArrived(Instant now, const VisitArrived& event, Actions& actions);
  void OnVisitCancelled(Instant now,
                        const VisitCancelled& event,
                        Actions& actions);
  void OnBackendResponded(Instant now,
                          const BackendResponded& event,
                          Actions& actions);
  void OnBackendFailed(Instant now,
                       const BackendFailed& event,
                       Actions& actions);
  void OnBackendReachable(Instant now,
                          const BackendReachable& event,
                          Actions& actions);
  // Quarantines fingerprints that other nodes of the service have quarantined,
  // each for the remaining time that was reported with it.
  void OnQuarantined(
      Instant now,
      const std::vector<std::pair<std::uint64_t, Duration>>& quarantined);
  // From now on new requests are refused as not run.
  void StartLeaving(Instant now, Actions& actions);
  void OnTick(Instant now, Actions& actions);

  // Earliest instant at which OnTick must be called, or nothing.
  std::optional<Instant> NextWake() const { return this->visits.EarliestDue(); }

  // The load that this node reports to others.
  LoadReport Load() const;

  // Quarantined fingerprints, each with the time until its quarantine expires,
  // to be gossiped to other nodes.
  std::vector<std::pair<std::uint64_t, Duration>> QuarantinedFingerprints(
      Instant now) const {
    return this->suspects.QuarantinedFingerprints(now);
  }

  // The admission threshold in force at this gate.
  AdmissionThreshold Threshold(Instant now) {
    return this->admission.Threshold(now);
  }

  // Number of visits that have not ended, queued ones included.
  std::size_t VisitsInFlight() const { return this->visits.Size(); }

  std::optional<ParentVisit> FindParent(VisitId visit) const override;
  int LendAllowance(VisitId visit, int wanted) override;
  void NestedCallStarted(Instant now, VisitId visit) override;
  void NestedCallEnded(
      Instant now,
      VisitId visit,
      int unspent,
      const std::vector<std::pair<std::string, AdmissionThreshold>>& thresholds)
      override;

 private:
  // The result of a visit that its reply carries.
  struct VisitResult {
    Outcome outcome = Outcome::kUnknown;
    Reason reason = Reason::kNone;
    Answer answer;
    std::optional<Binding> moved_to;
  };

  void RunRequest(Instant now, const VisitArrived& event, Actions& actions);
  // Returns true if the binding allows the request to proceed to admission.
  // Otherwise replies to it, or adds it to the waiters of the visit that
  // already runs under the binding.
  bool CheckBinding(Instant now, const VisitArrived& event, Actions& actions);
  void JoinVisit(Instant now,
                 const VisitArrived& event,
                 VisitId id,
                 Actions& actions);
  void IssueBinding(Instant now, const VisitArrived& event, Actions& actions);
  void QueryBinding(Instant now, const VisitArrived& event, Actions& actions);
  void MoveBinding(Instant now, const VisitArrived& event, Actions& actions);

  // Returns why the gate can't accept this request at the moment, or kNone.
  Reason FindClosedReason(const VisitRequest& request) const;
  bool IsIdempotent(const VisitRequest& request) const;
  // Whether a running request is aborted when no origin waits for it.
  bool MayAbort(const VisitRequest& request) const {
    return this->IsIdempotent(request) &&
           !this->options.disabled.Has(Mechanism::kCancellation);
  }

  void Admit(Instant now, const VisitArrived& event, Actions& actions);
  // Starts a visit at the backend server.
  void StartVisit(Instant now, VisitId id, Actions& actions);
  // Starts queued visits while slots are free.
  void StartQueued(Instant now, Actions& actions);

  // Marks the request's binding as refused and replies kNotRun.
  void Refuse(Instant now,
              const VisitArrived& event,
              Reason reason,
              Actions& actions);
  // Refuses the queued visits of the classes below `importance`.
  void RefuseLessImportant(Instant now,
                           Importance importance,
                           Actions& actions);
  // Ends a visit that was not run and replies kNotRun.
  void EndNotRun(Instant now, VisitId id, Reason reason, Actions& actions);
  // Ends a running visit whose outcome can no longer be determined and replies
  // kUnknown.
  void EndUnknown(Instant now, VisitId id, Reason reason, Actions& actions);
  // Replies kUnknown to all waiting origins while the visit keeps running.
  void Abandon(Instant now, VisitId id, Reason reason, Actions& actions);
  void HandleDue(Instant now, VisitId id, Actions& actions);
  // Removes the visit and replies to all its waiters.
  void EndVisit(Instant now,
                VisitId id,
                const VisitResult& result,
                Actions& actions);

  void SendReply(Instant now,
                 const VisitWaiter& waiter,
                 int unspent,
                 const VisitResult& result,
                 const Visit* visit,
                 Actions& actions);
  std::optional<Binding> NextBinding(Instant now, const VisitResult& result);
  void ReportFindings(const SuspectTable::Findings& findings,
                      Actions& actions) const;
  void ReportShedding(Instant now, Actions& actions);

  Options options;
  VisitObserver* observer = nullptr;
  std::shared_ptr<const TicketState> state;
  // Service of this host, in `state`.
  std::shared_ptr<const ServiceState> service;
  // Set if the service has non-idempotent routes.
  bool issues_bindings = false;
  VisitTable visits;
  Admission admission;
  BindingTable bindings;
  SuspectTable suspects;
  int suspects_in_flight = 0;
  bool leaving = false;
  bool backend_up = true;
  bool shedding = false;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_GATE_H_
