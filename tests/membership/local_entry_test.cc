#include "libraries/membership/local_entry.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(LocalEntryTest)

EndpointEntry Entry(const char* id, std::uint64_t started_at) {
  return {.id = id, .service = "drafts", .started_at = started_at};
}

BOOST_AUTO_TEST_CASE(ANodeThatKnowsNothingBelievesAList) {
  const LocalEntry local;
  BOOST_TEST(local.MayBelieveList(Entry("a", 5)));
}

// An entry was removed, then the connection to the store was reset, and a peer
// passed on a list from before the removal.
BOOST_AUTO_TEST_CASE(AnOldListDoesNotBringBackWhatThePlatformRemoved) {
  LocalEntry local;
  local.TakeWord({.id = "a", .entry = Entry("a", 5)});
  BOOST_TEST(!local.TakeWord({.id = "a"}).has_value());
  BOOST_TEST(!local.MayBelieveList(Entry("a", 5)));
}

BOOST_AUTO_TEST_CASE(AnotherLifeOrAnotherServerIsNotTheOneThatEnded) {
  LocalEntry local;
  local.TakeWord({.id = "a", .entry = Entry("a", 5)});
  local.TakeWord({.id = "a"});
  BOOST_TEST(local.MayBelieveList(Entry("a", 9)));
  BOOST_TEST(local.MayBelieveList(Entry("b", 5)));
}

BOOST_AUTO_TEST_CASE(ThePlatformsOwnWordGoesBeforeAList) {
  LocalEntry local;
  local.TakeWord({.id = "a", .entry = Entry("a", 5)});
  BOOST_TEST(!local.MayBelieveList(Entry("b", 9)));
  BOOST_TEST(local.TakeWord({.id = "a", .entry = Entry("a", 5)})->id == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
