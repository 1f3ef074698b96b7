#include "libraries/membership/local_entry_tracker.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(LocalEntryTrackerTest)

EndpointEntry Entry(const char* id, std::uint64_t started_at) {
  return {.id = id, .service = "drafts", .started_at = started_at};
}

BOOST_AUTO_TEST_CASE(ListedEntryIsUsed) {
  LocalEntryTracker local;
  BOOST_TEST(local.Update(Entry("a", 5), true)->id == "a");
  BOOST_TEST(!local.Update(std::nullopt, true).has_value());
  BOOST_TEST(local.Update(Entry("a", 5), true)->id == "a");
}

// The server at the address responded as another instance, while the platform
// still lists the one that it replaced.
BOOST_AUTO_TEST_CASE(ReplacedInstanceIsNotAcceptedAgain) {
  LocalEntryTracker local;
  local.Update(Entry("a", 5), true);
  local.RecordOtherInstance();
  BOOST_TEST(!local.Update(Entry("a", 5), true).has_value());
  BOOST_TEST(!local.Update(Entry("a", 5), true).has_value());
}

BOOST_AUTO_TEST_CASE(RestartedOrOtherInstanceIsAccepted) {
  LocalEntryTracker local;
  local.Update(Entry("a", 5), true);
  local.RecordOtherInstance();
  BOOST_TEST(local.Update(Entry("a", 9), true)->started_at == 9U);
  local.RecordOtherInstance();
  BOOST_TEST(local.Update(Entry("b", 5), true)->id == "b");
}

// The backend server lost its entry because it is partitioned from the
// platform, and possibly its node too, while both still serve.
BOOST_AUTO_TEST_CASE(RemovalByOtherNodesIsNotAccepted) {
  LocalEntryTracker local;
  local.Update(Entry("a", 5), false);
  BOOST_TEST(local.Update(std::nullopt, false)->id == "a");
  BOOST_TEST(local.IsUnconfirmed());
  BOOST_TEST(!local.Update(std::nullopt, true).has_value());
  BOOST_TEST(!local.IsUnconfirmed());
}

BOOST_AUTO_TEST_CASE(RelistedEntryIsConfirmed) {
  LocalEntryTracker local;
  local.Update(Entry("a", 5), false);
  local.Update(std::nullopt, false);
  BOOST_TEST(local.Update(Entry("a", 5), false)->id == "a");
  BOOST_TEST(!local.IsUnconfirmed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
