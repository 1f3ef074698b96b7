#include "libraries/decision/call_outcome.h"

#include "libraries/base/verify.h"

namespace agaterun::decision {

void CallOutcome::AttemptEnded(AttemptResult result) {
  VERIFY(this->outstanding > 0);
  --this->outstanding;
  switch (result) {
    case AttemptResult::kCompleted:
      this->completed = true;
      return;
    case AttemptResult::kNotRun:
      // Says nothing of earlier attempts: what may have run stays so.
      return;
    case AttemptResult::kUnknown:
      this->may_have_run = true;
      return;
    case AttemptResult::kFenced:
      // The gate speaks for the binding, not for one attempt: every attempt of
      // the call went under it or under a binding that was fenced before.
      this->may_have_run = false;
      return;
  }
}

Outcome CallOutcome::Current() const {
  if (this->completed) {
    return Outcome::kCompleted;
  }
  // Silence is no evidence, so an attempt that is under way counts as run.
  if (this->may_have_run || this->outstanding > 0) {
    return Outcome::kUnknown;
  }
  return Outcome::kNotRun;
}

}  // namespace agaterun::decision
