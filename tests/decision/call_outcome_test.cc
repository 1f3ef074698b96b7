#include "libraries/decision/call_outcome.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(CallOutcomeTest)

using Results = std::vector<AttemptResult>;

// The expected outcome of a call. Unlike CallOutcome, which is updated with
// each result, it is computed from the complete sequence.
Outcome ExpectedOutcome(bool may_have_run, const Results& results) {
  std::size_t after_fence = 0;
  for (std::size_t index = 0; index < results.size(); ++index) {
    if (results[index] == AttemptResult::kCompleted) {
      return Outcome::kCompleted;
    }
    if (results[index] == AttemptResult::kFenced) {
      after_fence = index + 1;
      may_have_run = false;
    }
  }
  for (std::size_t index = after_fence; index < results.size(); ++index) {
    may_have_run = may_have_run || results[index] == AttemptResult::kUnknown;
  }
  return may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
}

void ForEachSequence(std::size_t length,
                     Results& prefix,
                     const std::function<void(const Results&)>& check) {
  check(prefix);
  if (prefix.size() == length) {
    return;
  }
  for (const auto& row : kAttemptResultNames) {
    prefix.push_back(row.value);
    ForEachSequence(length, prefix, check);
    prefix.pop_back();
  }
}

BOOST_AUTO_TEST_CASE(OutcomeIsCorrectForAllSequencesUpToThreeAttempts) {
  int checked = 0;
  for (const bool may_have_run : {false, true}) {
    Results prefix;
    ForEachSequence(3, prefix, [&](const Results& results) {
      CallOutcome outcome({.may_have_run = may_have_run});
      for (const auto result : results) {
        outcome.RecordAttemptSent();
        // While an attempt is in flight, the call is completed or unknown.
        BOOST_TEST((outcome.Current() != Outcome::kNotRun));
        outcome.RecordAttemptEnded(result);
      }
      BOOST_TEST((outcome.Current() == ExpectedOutcome(may_have_run, results)));
      ++checked;
    });
  }
  BOOST_TEST(checked == 2 * (1 + 4 + 16 + 64));
}

BOOST_AUTO_TEST_CASE(RefusedRetryAfterLostAttemptStaysUnknown) {
  CallOutcome outcome({});
  outcome.RecordAttemptSent();
  outcome.RecordAttemptEnded(AttemptResult::kUnknown);
  outcome.RecordAttemptSent();
  outcome.RecordAttemptEnded(AttemptResult::kNotRun);
  BOOST_TEST((outcome.Current() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
