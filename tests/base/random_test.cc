#include "libraries/base/random.h"

#include <boost/test/unit_test.hpp>

namespace agaterun {

BOOST_AUTO_TEST_SUITE(RandomTest)

BOOST_AUTO_TEST_CASE(SameSeedGivesSameNumbers) {
  SeededRandom left(7);
  SeededRandom right(7);
  for (int draw = 0; draw < 100; ++draw) {
    BOOST_TEST(left.Next() == right.Next());
  }
}

BOOST_AUTO_TEST_CASE(BelowStaysBelowItsBound) {
  SeededRandom random(1);
  for (int draw = 0; draw < 1000; ++draw) {
    BOOST_TEST(random.Below(3) < 3U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun
