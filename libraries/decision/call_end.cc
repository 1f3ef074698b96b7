#include "libraries/decision/call_end.h"

namespace agaterun::decision {

CallEnd EndWithReason(const Call& call, Reason reason) {
  // The reason why the outcome is unknown is more informative than that of a
  // later refusal of a retry.
  if (call.outcome.Current() == Outcome::kUnknown &&
      call.unknown_reason != Reason::kNone) {
    return {.reason = call.unknown_reason};
  }
  return {.reason = reason};
}

CallEnd EndUnknown(Call& call, Reason reason) {
  if (call.unknown_reason == Reason::kNone) {
    call.unknown_reason = reason;
  }
  return {.reason = reason};
}

CallEnd EndCompleted(Call& call, const Answer& answer) {
  call.outcome.RecordAttemptEnded(AttemptResult::kCompleted);
  return {.answer = answer};
}

bool HasCompleteResponse(const AttemptReplied& event) {
  return event.reply.outcome == Outcome::kCompleted && event.answer != nullptr;
}

bool IsServerError(const AttemptReplied& event) {
  constexpr int kFirstServerError = 500;  // RFC 9110, section 15.6.
  return HasCompleteResponse(event) &&
         event.answer->status >= kFirstServerError;
}

}  // namespace agaterun::decision
