#ifndef LIBRARIES_DECISION_CALL_OUTCOME_H_
#define LIBRARIES_DECISION_CALL_OUTCOME_H_

#include <array>
#include <cstdint>

#include "libraries/base/enum_names.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// How one attempt of a call ended.
enum class AttemptResult : std::uint8_t {
  kCompleted,  // The gate gave the whole answer.
  kNotRun,     // The gate refused this attempt, or no byte of it was sent.
  kUnknown,    // It may have run.
  kFenced,     // The gate closed the binding: no attempt under it ran or will.
};

inline constexpr std::array kAttemptResultNames = {
    EnumName<AttemptResult>{AttemptResult::kCompleted, "completed"},
    EnumName<AttemptResult>{AttemptResult::kNotRun, "not-run"},
    EnumName<AttemptResult>{AttemptResult::kUnknown, "unknown"},
    EnumName<AttemptResult>{AttemptResult::kFenced, "fenced"},
};

// What may be told of a call, from what became of its attempts.
class CallOutcome {
 public:
  struct Options {
    // Attempts that this node does not know of may have run already.
    bool may_have_run = false;
  };

  explicit CallOutcome(Options options) : may_have_run(options.may_have_run) {}

  // An attempt left that may run the request.
  void AttemptSent() { ++this->outstanding; }

  // An attempt that was sent ended. Late results may still come after kFenced.
  void AttemptEnded(AttemptResult result);

  // Attempts that this node does not know of may have run it.
  void MayHaveRun() { this->may_have_run = true; }

  // What is true of the call at this moment.
  Outcome Current() const;

 private:
  bool may_have_run;
  bool completed = false;
  int outstanding = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_OUTCOME_H_
