#ifndef LIBRARIES_DECISION_PARENT_VISITS_H_
#define LIBRARIES_DECISION_PARENT_VISITS_H_

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// The properties that a nested call inherits from the visit that sent it.
struct ParentVisit {
  Importance importance = Importance::kNormal;
  Instant deadline{};
  std::uint16_t admission_key = 0;
  std::uint64_t request_id = 0;
  std::string share;
};

// Interface to the gate's running visits for the origin part of the node, which
// handles their nested calls.
class ParentVisits {
 public:
  virtual ~ParentVisits() = default;

  // Returns the running visit `visit`, or nothing if it has ended or never
  // existed.
  virtual std::optional<ParentVisit> FindParent(VisitId visit) const = 0;

  // Lends up to `wanted` retries of the visit's allowance to a nested call.
  // Returns how many were lent.
  virtual int LendAllowance(VisitId visit, int wanted) = 0;

  // A nested call of the visit started. The visit's own time stops while any
  // nested call is in flight.
  virtual void NestedCallStarted(Instant now, VisitId visit) = 0;

  // A nested call of the visit ended. `unspent` retries return to the visit's
  // allowance, and `thresholds` of the path below are added to the visit's
  // reply.
  virtual void NestedCallEnded(
      Instant now,
      VisitId visit,
      int unspent,
      const std::vector<std::pair<std::string, AdmissionThreshold>>&
          thresholds) = 0;
};

// Notified when a visit has ended, so that its nested calls can be cancelled.
class VisitObserver {
 public:
  virtual ~VisitObserver() = default;
  virtual void OnVisitEnded(Instant now, VisitId visit, Actions& actions) = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PARENT_VISITS_H_
