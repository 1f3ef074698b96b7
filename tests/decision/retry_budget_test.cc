#include "libraries/decision/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

// Spends retries until the budget refuses one. Returns the number spent.
int SpendAll(RetryBudget& budget, Instant now) {
  int spent = 0;
  while (budget.TrySpend(now)) {
    ++spent;
  }
  return spent;
}

BOOST_AUTO_TEST_CASE(AllowsFractionOfFirstAttemptsOfLastSecond) {
  RetryBudget budget({.ratio = 0.1});
  for (int call = 0; call < 200; ++call) {
    budget.RecordFirstAttempt(1s);
  }
  BOOST_TEST(SpendAll(budget, 1s + 500ms) == 20);
  BOOST_TEST(SpendAll(budget, 1s + 900ms) == 0);
  // The sliding second no longer includes the calls, but still the retries.
  BOOST_TEST(SpendAll(budget, 2s + 100ms) == 0);
  BOOST_TEST(SpendAll(budget, 2s + 600ms) == 3);
}

BOOST_AUTO_TEST_CASE(RetriesStayWithinFractionInEverySlidingSecond) {
  RetryBudget budget({.ratio = 0.25});
  std::vector<int> calls;
  std::vector<int> retries;
  for (int step = 0; step < 100; ++step) {
    const auto now = Duration{100ms} * step;
    const int arriving = step % 20 < 10 ? 40 : 0;
    for (int call = 0; call < arriving; ++call) {
      budget.RecordFirstAttempt(now);
    }
    calls.push_back(arriving);
    retries.push_back(SpendAll(budget, now));
    int calls_of_second = 0;
    int retries_of_second = 0;
    for (int back = std::max(0, step - 9); back <= step; ++back) {
      calls_of_second += calls[static_cast<std::size_t>(back)];
      retries_of_second += retries[static_cast<std::size_t>(back)];
    }
    // Retries granted earlier still count when the calls that allowed them have
    // left the window.
    const int max_calls = 400;
    BOOST_TEST(retries_of_second <= max_calls / 4);
    BOOST_TEST((retries.back() == 0 ||
                retries_of_second <= std::max(3, calls_of_second / 4)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
