#include "libraries/membership/fleet_size.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(FleetSizeTest)

BOOST_AUTO_TEST_CASE(IsZeroUntilNodesAreKnown) {
  FleetSize size(3);
  BOOST_TEST(size.Nodes() == 0U);
  size.Record(1s, 12, 4);
  BOOST_TEST(size.Nodes() == 12U);
  size.Record(2s, 15, 5);
  BOOST_TEST(size.Nodes() == 15U);
}

// Failure: entries lapsed while their nodes went on sending, and each of the
// others took a larger part of the extra retries.
BOOST_AUTO_TEST_CASE(ShorterListIsNoSmallerFleet) {
  FleetSize size(3);
  size.Record(1s, 12, 4);
  size.Record(2s, 9, 3);
  BOOST_TEST(size.Nodes() == 12U);
}

// Failure: a process that started while a failure domain was cut off divided
// the extra retries among the nodes of the others.
BOOST_AUTO_TEST_CASE(FailureDomainThatIsCutOffCounts) {
  FleetSize size(3);
  size.Record(1s, 8, 4);
  BOOST_TEST(size.Nodes() == 12U);
}

BOOST_AUTO_TEST_CASE(ForgetsLargerFleetInTime) {
  FleetSize size(1);
  size.Record(1s, 700, 700);
  size.Record(3000s, 350, 350);
  BOOST_TEST(size.Nodes() == 700U);
  for (auto now = Instant(3600s); now < Instant(12000s); now += 600s) {
    size.Record(now, 350, 350);
  }
  BOOST_TEST(size.Nodes() == 350U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
