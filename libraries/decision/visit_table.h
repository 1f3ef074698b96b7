#ifndef LIBRARIES_DECISION_VISIT_TABLE_H_
#define LIBRARIES_DECISION_VISIT_TABLE_H_

#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/visit.h"

namespace agaterun::decision {

// The visits of one gate, indexed by id, by waiting attempt and by due instant.
class VisitTable {
 public:
  // `random` must outlive the table.
  explicit VisitTable(RandomSource& random) : random(random) {}

  // Adds a visit under a new random id, which peers and backend servers can't
  // guess.
  VisitId Add(Visit visit);

  // Returns the visit, or nullptr.
  Visit* Find(VisitId id);
  const Visit* Find(VisitId id) const;

  // Returns the visit that `attempt` waits for, or nothing.
  std::optional<VisitId> FindAttempt(const AttemptId& attempt) const;

  void AddWaiter(VisitId id, const VisitWaiter& waiter);
  void RemoveWaiter(VisitId id, const AttemptId& attempt);
  void SetDue(VisitId id, Instant due);

  // Removes and returns the visit, which must exist.
  Visit Remove(VisitId id);

  std::vector<VisitId> DueAt(Instant now) const;
  std::optional<Instant> EarliestDue() const;
  std::vector<VisitId> InPhase(VisitPhase phase) const;
  std::size_t Size() const { return this->visits.size(); }

 private:
  RandomSource& random;
  std::unordered_map<VisitId, Visit> visits;
  std::unordered_map<AttemptId, VisitId> attempts;
  std::set<std::pair<Instant, VisitId>> due;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_VISIT_TABLE_H_
