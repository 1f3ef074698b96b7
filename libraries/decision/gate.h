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

// The side of a node that guards its own backend server: admission, bindings,
// and the last word on each attempt.
class Gate final : public ParentVisits {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string service;  // Of the backend server on this host.
    // Switched off, to measure what each is worth.
    MechanismSet disabled = {};
  };

  // `random` outlives the gate.
  Gate(Options options, RandomSource& random);

  // Whoever hears that visits end; set once, before the first event.
  void SetObserver(VisitObserver* observer) { this->observer = observer; }

  // Visits that arrive from now on see `state`.
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
  // Fingerprints that other nodes of the service convicted.
  void OnQuarantined(
      Instant now,
      const std::vector<std::pair<std::uint64_t, Duration>>& quarantined);
  // From now on new work is refused as not run.
  void StartLeaving(Instant now, Actions& actions);
  void OnTick(Instant now, Actions& actions);

  // Earliest instant at which OnTick has work, or nothing.
  std::optional<Instant> NextWake() const { return this->visits.EarliestDue(); }

  // What this node tells others of itself.
  LoadReport Load() const;

  // Convicted fingerprints with the time until each is forgiven, to spread.
  std::vector<std::pair<std::uint64_t, Duration>> QuarantinedFingerprints(
      Instant now) const {
    return this->suspects.QuarantinedFingerprints(now);
  }

  // The threshold in force here.
  AdmissionThreshold Threshold(Instant now) {
    return this->admission.Threshold(now);
  }

  // Visits without their last word, queued ones included.
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
  // What a reply says of the outcome.
  struct VisitResult {
    Outcome outcome = Outcome::kUnknown;
    Reason reason = Reason::kNone;
    Answer answer;
    std::optional<Binding> moved_to;
  };

  void RunRequest(Instant now, const VisitArrived& event, Actions& actions);
  // True when the binding lets the request go on to admission.
  bool CheckBinding(Instant now, const VisitArrived& event, Actions& actions);
  void JoinVisit(Instant now,
                 const VisitArrived& event,
                 VisitId id,
                 Actions& actions);
  void IssueBinding(Instant now, const VisitArrived& event, Actions& actions);
  void QueryBinding(Instant now, const VisitArrived& event, Actions& actions);
  void MoveBinding(Instant now, const VisitArrived& event, Actions& actions);

  // Why no request can be taken just now, or kNone.
  Reason FindClosedReason(const VisitRequest& request) const;
  bool IsIdempotent(const VisitRequest& request) const;
  // Whether a running request is broken off when nobody waits for it.
  bool MayAbort(const VisitRequest& request) const {
    return this->IsIdempotent(request) &&
           !this->options.disabled.Has(Mechanism::kCancellation);
  }

  void Admit(Instant now, const VisitArrived& event, Actions& actions);
  // Starts a visit at the backend server.
  void StartVisit(Instant now, VisitId id, Actions& actions);
  // Starts queued visits while slots are free.
  void StartQueued(Instant now, Actions& actions);

  // Fences the request's binding and answers kNotRun.
  void Refuse(Instant now,
              const VisitArrived& event,
              Reason reason,
              Actions& actions);
  // Refuses queued visits of the classes below `importance`.
  void RefuseLessImportant(Instant now,
                           Importance importance,
                           Actions& actions);
  // A visit that was not run gets its last word.
  void EndNotRun(Instant now, VisitId id, Reason reason, Actions& actions);
  // A running visit's outcome can't be told any more.
  void EndUnknown(Instant now, VisitId id, Reason reason, Actions& actions);
  // The waiting origins get their last word while the visit runs on.
  void Abandon(Instant now, VisitId id, Reason reason, Actions& actions);
  void HandleDue(Instant now, VisitId id, Actions& actions);
  // Takes the visit out and gives its last word.
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
  std::shared_ptr<const ServiceState> service;  // Of this host, in `state`.
  bool issues_bindings = false;  // The service has non-idempotent routes.
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
