#include "libraries/decision/call_outcome.h"

#include "libraries/base/verify.h"

namespace agaterun::decision {

void CallOutcome::RecordAttemptEnded(AttemptResult result) {
  VERIFY(this->outstanding > 0);
  --this->outstanding;
  switch (result) {
    case AttemptResult::kCompleted:
      this->completed = true;
      return;
    case AttemptResult::kNotRun:
      // A refusal proves nothing about earlier attempts, which may have run.
      return;
    case AttemptResult::kUnknown:
      this->may_have_run = true;
      return;
    case AttemptResult::kFenced:
      // The result applies to the binding, not just to one attempt: every
      // attempt of the call used this binding or one that was fenced before.
      this->may_have_run = false;
      return;
  }
}

Outcome CallOutcome::Current() const {
  if (this->completed) {
    return Outcome::kCompleted;
  }
  // An attempt without a result yet may have run.
  if (this->may_have_run || this->outstanding > 0) {
    return Outcome::kUnknown;
  }
  return Outcome::kNotRun;
}

}  // namespace agaterun::decision
