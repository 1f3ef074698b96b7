#include "libraries/decision/call_outcome.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <vector>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(CallOutcomeTest)

using Results = std::vector<AttemptResult>;

// What is true of a call, told apart from how CallOutcome computes it: the
// whole sequence is judged at once.
Outcome Truth(bool may_have_run, const Results& results) {
  std::size_t judged_from = 0;
  for (std::size_t place = 0; place < results.size(); ++place) {
    if (results[place] == AttemptResult::kCompleted) {
      return Outcome::kCompleted;
    }
    if (results[place] == AttemptResult::kFenced) {
      judged_from = place + 1;
      may_have_run = false;
    }
  }
  for (std::size_t place = judged_from; place < results.size(); ++place) {
    may_have_run = may_have_run || results[place] == AttemptResult::kUnknown;
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

BOOST_AUTO_TEST_CASE(TellsTheTruthOfEverySequenceUpToThreeAttempts) {
  int checked = 0;
  for (const bool may_have_run : {false, true}) {
    Results prefix;
    ForEachSequence(3, prefix, [&](const Results& results) {
      CallOutcome outcome({.may_have_run = may_have_run});
      for (const auto result : results) {
        outcome.AttemptSent();
        // Nothing but a whole answer outweighs an attempt under way.
        BOOST_TEST((outcome.Current() != Outcome::kNotRun));
        outcome.AttemptEnded(result);
      }
      BOOST_TEST((outcome.Current() == Truth(may_have_run, results)));
      ++checked;
    });
  }
  BOOST_TEST(checked == 2 * (1 + 4 + 16 + 64));
}

BOOST_AUTO_TEST_CASE(RefusalOfARetryLeavesALostAttemptUnknown) {
  CallOutcome outcome({});
  outcome.AttemptSent();
  outcome.AttemptEnded(AttemptResult::kUnknown);
  outcome.AttemptSent();
  outcome.AttemptEnded(AttemptResult::kNotRun);
  BOOST_TEST((outcome.Current() == Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
