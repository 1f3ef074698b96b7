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

// Calls without a final response, indexed by id, deadline and parent visit.
class CallTable {
 public:
  // Adds a call whose id is not in the table. The reference stays valid until
  // the call is erased.
  Call& Add(Call call);

  // The call, or nullptr.
  Call* Find(CallId id);

  void Erase(CallId id);

  // The call with the earliest deadline if that has passed, or nullptr.
  Call* FirstExpired(Instant now);

  // The earliest deadline, or nothing.
  std::optional<Instant> NextDeadline() const;

  // Ids of the nested calls that `visit` sent.
  std::vector<CallId> NestedCallsOf(VisitId visit) const;

  bool Contains(CallId id) const { return this->calls.contains(id); }
  std::size_t Size() const { return this->calls.size(); }

 private:
  std::unordered_map<CallId, Call> calls;
  // Sorted, so that finding the next deadline doesn't scan all calls, of which
  // there may be tens of thousands.
  std::set<std::pair<Instant, CallId>> deadlines;
  std::unordered_map<VisitId, std::vector<CallId>> nested;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_TABLE_H_
