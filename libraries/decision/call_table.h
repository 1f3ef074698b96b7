#ifndef LIBRARIES_DECISION_CALL_TABLE_H_
#define LIBRARIES_DECISION_CALL_TABLE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/decision/call.h"

namespace agaterun::decision {

// Calls without their final answer, by id, by deadline and by parent visit.
class CallTable {
 public:
  // Adds a call whose id is not in the table. Stays where it is until erased.
  Call& Add(Call call);

  // The call, or nullptr.
  Call* Find(CallId id);

  void Erase(CallId id);

  // A call whose deadline has come, or nullptr.
  Call* FirstDue(Instant now);

  // The earliest deadline, or nothing.
  std::optional<Instant> NextDeadline() const;

  // Ids of the calls that `visit` sent.
  std::vector<CallId> NestedIn(VisitId visit) const;

  bool Contains(CallId id) const { return this->calls.contains(id); }
  std::size_t Size() const { return this->calls.size(); }

 private:
  std::unordered_map<CallId, Call> calls;
  // Tens of thousands of calls may wait at once; the next deadline is at hand
  // without a look at each.
  std::set<std::pair<Instant, CallId>> deadlines;
  std::unordered_map<VisitId, std::vector<CallId>> nested;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_TABLE_H_
