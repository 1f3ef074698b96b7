#ifndef LIBRARIES_CALLS_ABANDONED_VISITS_H_
#define LIBRARIES_CALLS_ABANDONED_VISITS_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"
#include "libraries/calls/nested_call_parent.h"

namespace agaterun::calls {

// Visits that ended without a response while the backend server may go on
// running the request until its deadline, and may make nested calls meanwhile.
class AbandonedVisits {
 public:
  // `deadline` is the one that the backend server received. Nothing is stored
  // if it has passed.
  void Add(Instant now,
           const std::string& request_id,
           Instant deadline,
           NestedCallParent parent);

  // nullptr if there is none, or its deadline has passed. Valid until the next
  // call of Add.
  const NestedCallParent* Find(Instant now, std::string_view request_id) const;

 private:
  struct Visit {
    NestedCallParent parent;
    Instant deadline{};
  };

  void RemoveExpired(Instant now);

  std::map<std::string, Visit, std::less<>> visits;  // By request id.
  std::multimap<Instant, std::string> deadlines;
};

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_ABANDONED_VISITS_H_
