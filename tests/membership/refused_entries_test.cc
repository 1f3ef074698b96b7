#include "libraries/membership/refused_entries.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(RefusedEntriesTest)

BOOST_AUTO_TEST_CASE(EntryIsReportedOncePerReason) {
  RefusedEntries refused;
  BOOST_TEST(refused.ShouldReport({.id = "a", .why = "port"}));
  BOOST_TEST(!refused.ShouldReport({.id = "a", .why = "port"}));
  BOOST_TEST(refused.ShouldReport({.id = "b", .why = "port"}));
  BOOST_TEST(refused.ShouldReport({.id = "a", .why = "state"}));
  BOOST_TEST(!refused.ShouldReport({.id = "a", .why = "state"}));
}

// An unlimited number of refused entries takes limited memory.
BOOST_AUTO_TEST_CASE(NumberOfReportedEntriesIsLimited) {
  RefusedEntries refused;
  int reported = 0;
  for (int entry = 0; entry < 10'000; ++entry) {
    reported +=
        refused.ShouldReport({.id = std::to_string(entry), .why = "x"}) ? 1 : 0;
  }
  BOOST_TEST(reported == 1024);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
