#include "libraries/decision/retry_allowance.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(RetryAllowanceTest)

BOOST_AUTO_TEST_CASE(LendsAtMostRemainingRetries) {
  RetryAllowance allowance({.retries = 3});
  BOOST_TEST(allowance.Lend(2) == 2);
  BOOST_TEST(allowance.Lend(2) == 1);
  BOOST_TEST(allowance.Lend(1) == 0);
  BOOST_TEST(!allowance.Spend());
}

BOOST_AUTO_TEST_CASE(RefusesReturnOfMoreThanLent) {
  RetryAllowance allowance({.retries = 3});
  BOOST_TEST(allowance.Lend(2) == 2);
  BOOST_TEST(!allowance.Return(3).has_value());
  BOOST_TEST(!allowance.Return(-1).has_value());
  BOOST_TEST(allowance.Remaining() == 1);
  BOOST_TEST(allowance.Return(2).has_value());
  BOOST_TEST(allowance.Remaining() == 3);
  BOOST_TEST(!allowance.Return(1).has_value());
}

BOOST_AUTO_TEST_CASE(TreatsNegativeRetriesAsZero) {
  RetryAllowance allowance({.retries = -4});
  BOOST_TEST(allowance.Lend(1) == 0);
  BOOST_TEST(allowance.Remaining() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
