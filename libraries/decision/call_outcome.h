#ifndef LIBRARIES_DECISION_CALL_OUTCOME_H_
#define LIBRARIES_DECISION_CALL_OUTCOME_H_

#include <array>
#include <cstdint>

#include "libraries/base/enum_names.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// How one attempt of a call ended.
enum class AttemptResult : std::uint8_t {
  kCompleted,  // The gate returned a complete response.
  kNotRun,     // The gate refused this attempt, or no byte of it was sent.
  kUnknown,    // It may have run.
  kFenced,     // The gate fenced the binding: no attempt under it ran or will.
};

inline constexpr std::array kAttemptResultNames = {
    EnumName<AttemptResult>{AttemptResult::kCompleted, "completed"},
    EnumName<AttemptResult>{AttemptResult::kNotRun, "not-run"},
    EnumName<AttemptResult>{AttemptResult::kUnknown, "unknown"},
    EnumName<AttemptResult>{AttemptResult::kFenced, "fenced"},
};

// Computes the outcome of a call from the results of its attempts.
class CallOutcome {
 public:
  struct Options {
    // Attempts sent by other nodes may already have run the request.
    bool may_have_run = false;
  };

  explicit CallOutcome(Options options) : may_have_run(options.may_have_run) {}

  // Records that an attempt was sent which may run the request.
  void RecordAttemptSent() { ++this->outstanding; }

  // Records the result of an attempt that was sent. Late results may still
  // arrive after kFenced.
  void RecordAttemptEnded(AttemptResult result);

  // Records that attempts sent by other nodes may have run the request.
  void RecordPossibleRun() { this->may_have_run = true; }

  // The outcome of the call so far.
  Outcome Current() const;

 private:
  bool may_have_run;
  bool completed = false;
  int outstanding = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CALL_OUTCOME_H_
