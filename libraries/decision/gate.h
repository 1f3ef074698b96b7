#ifndef LIBRARIES_DECISION_GATE_H_
#define LIBRARIES_DECISION_GATE_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/parent_visits.h"

namespace agaterun::decision {

// The side of a node that guards its own backend server: admission, bindings,
// and the last word on each attempt.
class Gate final : public ParentVisits {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string service;  // Of the backend server on this host.
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
  void OnBackendAnswered(Instant now,
                         const BackendAnswered& event,
                         Actions& actions);
  void OnBackendFailed(Instant now,
                       const BackendFailed& event,
                       Actions& actions);
  void OnBackendReachable(Instant now,
                          const BackendReachable& event,
                          Actions& actions);
  // Fingerprints that other nodes of the service convicted.
  void OnConvicted(
      Instant now,
      const std::vector<std::pair<std::uint64_t, Duration>>& convicted);
  // From now on new work is refused as not run.
  void StartLeaving(Instant now, Actions& actions);
  void OnTick(Instant now, Actions& actions);

  // Earliest instant at which OnTick has work, or nothing.
  std::optional<Instant> NextWake() const;

  // What this node tells others of itself.
  LoadReport Load() const;

  // Convicted fingerprints with the time until each is forgiven, to spread.
  std::vector<std::pair<std::uint64_t, Duration>> Convicted(Instant now) const;

  // Visits without their last word, queued ones included.
  std::size_t VisitsInFlight() const { return this->visits.size(); }

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
  struct Visit {
    NodeAddress from;
    VisitRequest request;
    Instant deadline{};
  };

  void End(Instant now,
           VisitId visit,
           VisitReply reply,
           Answer answer,
           Actions& actions);

  Options options;
  RandomSource& random;
  VisitObserver* observer = nullptr;
  std::shared_ptr<const TicketState> state;
  std::unordered_map<VisitId, Visit> visits;
  bool leaving = false;
  bool backend_up = true;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_GATE_H_
