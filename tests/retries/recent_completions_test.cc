#include "libraries/retries/recent_completions.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::retries {

BOOST_AUTO_TEST_SUITE(RecentCompletionsTest)

BOOST_AUTO_TEST_CASE(KeepsFingerprintsForTenToTwentySeconds) {
  RecentCompletions completions;
  BOOST_TEST(!completions.Contains(100s, 1));
  completions.Record(100s, 1);
  completions.Record(109s, 2);
  completions.Record(111s, 3);
  BOOST_TEST(completions.Contains(111s, 1));
  BOOST_TEST(completions.Contains(119s, 2));
  BOOST_TEST(!completions.Contains(122s, 2));
  BOOST_TEST(completions.Contains(122s, 3));
  BOOST_TEST(!completions.Contains(132s, 3));
  // What was recorded before a long pause is not kept.
  completions.Record(200s, 4);
  BOOST_TEST(!completions.Contains(200s, 3));
}

BOOST_AUTO_TEST_CASE(IsBoundedUnderHighRate) {
  RecentCompletions completions;
  for (std::uint64_t id = 0; id < 20'000; ++id) {
    completions.Record(100s, id);
  }
  BOOST_TEST(!completions.Contains(100s, 1));
  BOOST_TEST(completions.Contains(100s, 19'999));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::retries
