#ifndef LIBRARIES_DECISION_CALL_END_H_
#define LIBRARIES_DECISION_CALL_END_H_

#include "libraries/decision/call.h"
#include "libraries/decision/events.h"

namespace agaterun::decision {

// Why a call ended, and its HTTP response if it completed.
struct CallEnd {
  Reason reason = Reason::kNone;
  Answer answer;
};

// Ends a call with `reason`, or with the reason of an earlier lost attempt if
// that one may have run the request.
CallEnd EndWithReason(const Call& call, Reason reason);

// Ends a call that may have run, for `reason`.
CallEnd EndUnknown(Call& call, Reason reason);

// Ends a call whose current attempt completed.
CallEnd EndCompleted(Call& call, const Answer& answer);

// True if the reply reports completion and includes the HTTP response.
bool HasCompleteResponse(const AttemptReplied& event);

// True if the reply's response has a 5xx status.
bool IsServerError(const AttemptReplied& event);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_END_H_
