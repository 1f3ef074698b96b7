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

// What a nested call inherits from the visit that sent it.
struct ParentVisit {
  Importance importance = Importance::kNormal;
  Instant deadline{};
  std::uint16_t admission_key = 0;
  std::uint64_t request_id = 0;
  std::string share;
};

// The gate's running visits, as the origin of their nested calls sees them.
class ParentVisits {
 public:
  virtual ~ParentVisits() = default;

  // The running visit `visit`, or nothing when it ended or never was.
  virtual std::optional<ParentVisit> FindParent(VisitId visit) const = 0;

  // Takes up to `wanted` retries of the visit for a nested call.
  virtual int LendAllowance(VisitId visit, int wanted) = 0;

  // A nested call of the visit left, so its own time stands still.
  virtual void NestedCallStarted(Instant now, VisitId visit) = 0;

  // It ended: `unspent` retries come back, and `thresholds` of the path below
  // go into the visit's reply.
  virtual void NestedCallEnded(
      Instant now,
      VisitId visit,
      int unspent,
      const std::vector<std::pair<std::string, AdmissionThreshold>>&
          thresholds) = 0;
};

// Hears when a visit ended, so that its nested calls can be cancelled.
class VisitObserver {
 public:
  virtual ~VisitObserver() = default;
  virtual void OnVisitEnded(Instant now, VisitId visit, Actions& actions) = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PARENT_VISITS_H_
