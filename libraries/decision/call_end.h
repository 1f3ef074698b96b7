#ifndef LIBRARIES_DECISION_CALL_END_H_
#define LIBRARIES_DECISION_CALL_END_H_

#include "libraries/decision/call.h"
#include "libraries/decision/events.h"

namespace agaterun::decision {

// Why a call is over, and its answer when it completed.
struct CallEnd {
  Reason reason = Reason::kNone;
  Answer answer;
};

// The end of a call whose last event says `reason`.
CallEnd EndOf(const Call& call, Reason reason);

// The end of a call that may have run, for `reason`.
CallEnd EndUnknown(Call& call, Reason reason);

// The end of a call whose attempt under way completed.
CallEnd EndCompleted(Call& call, const Answer& answer);

// True when the reply brought the whole answer that it speaks of.
bool IsWhole(const AttemptReplied& event);

// True when that answer is the backend server's word that it failed.
bool IsServerError(const AttemptReplied& event);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_END_H_
