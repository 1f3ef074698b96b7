#include "tests/fakes/free_port.h"

#include <boost/test/unit_test.hpp>
#include <set>

namespace agaterun::fakes {

BOOST_AUTO_TEST_SUITE(FreePortTest)

// A host of a test draws five addresses before it listens on the first.
BOOST_AUTO_TEST_CASE(NeverGivesAnAddressTwice) {
  constexpr std::size_t kDraws = 3000;
  std::set<std::uint16_t> ports;
  for (std::size_t draw = 0; draw < kDraws; ++draw) {
    ports.insert(FreeAddress(0x7f010203).port);
  }
  BOOST_TEST(ports.size() == kDraws);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::fakes
