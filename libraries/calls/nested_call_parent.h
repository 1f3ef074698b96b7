#ifndef LIBRARIES_CALLS_NESTED_CALL_PARENT_H_
#define LIBRARIES_CALLS_NESTED_CALL_PARENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/decision/messages.h"

namespace agaterun::calls {

// Identifies a visit: a request at the gate, queued or running at the backend
// server.
using VisitNumber = std::uint64_t;

// The request that made a nested call.
struct NestedCallParent {
  VisitNumber visit = 0;
  decision::Importance importance = decision::Importance::kNormal;
  std::uint8_t account_priority = 0;
  std::string account;  // Client account; empty if it has none.
  // Nobody waits for its response any more, and it need not complete.
  bool is_abandoned = false;
};

// The id of the request that would have made a nested call with this request
// id: the id of a nested call is that of its parent, a dot and a suffix.
// Returns nullopt if the id has another form.
std::optional<std::string_view> ParentIdOf(std::string_view request_id);

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_NESTED_CALL_PARENT_H_
