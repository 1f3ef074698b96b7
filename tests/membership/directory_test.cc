#include "libraries/membership/directory.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(DirectoryTest)

EndpointEntry Entry(const char* id, std::uint64_t revision) {
  return {.id = id,
          .service = "drafts",
          .address = {.ip = 7, .port = 8000},
          .failure_domain = "a",
          .slots = 10,
          .started_at = 5,
          .revision = revision};
}

EndpointEntry Leaving(const char* id, std::uint64_t revision) {
  auto entry = Entry(id, revision);
  entry.leaving = true;
  return entry;
}

BOOST_AUTO_TEST_CASE(LaterRevisionReplacesEarlierRevision) {
  Directory directory;
  BOOST_TEST(directory.ApplyEntry(Leaving("a", 8)));
  BOOST_TEST(!directory.ApplyEntry(Entry("a", 5)));
  BOOST_TEST(directory.Entries().at(0).leaving);
  BOOST_TEST(!directory.ApplyEntry(Leaving("a", 9)));
  BOOST_TEST(directory.RevisionOf("a") == 9U);
}

// An entry is removed, the connection to the platform is reset, and a peer
// sends a list from before the removal.
BOOST_AUTO_TEST_CASE(OldListDoesNotRestoreRemovedEntry) {
  Directory directory;
  directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6});
  BOOST_TEST(directory.ApplyRemoval("a", 9));
  BOOST_TEST(!directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6}));
  BOOST_TEST(
      !directory.ApplyChanges({.revision = 8, .entries = {Entry("a", 7)}}));
  BOOST_TEST(directory.Entries().empty());
  directory.SetCompleteRevision(12);
  BOOST_TEST(!directory.ApplyEntry(Entry("a", 11)));
  BOOST_TEST(directory.ApplyEntry(Entry("a", 13)));
}

BOOST_AUTO_TEST_CASE(ListRemovesMissingEntriesUnlessNewer) {
  Directory directory;
  directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6});
  directory.ApplyEntry(Entry("b", 9));
  BOOST_TEST(directory.ApplyList({.entries = {}, .revision = 8}));
  BOOST_TEST(directory.Entries().size() == 1U);
  BOOST_TEST(directory.Entries().at(0).id == "b");
}

BOOST_AUTO_TEST_CASE(EqualEndpointsHaveEqualDigests) {
  Directory left;
  Directory right;
  left.ApplyList({.entries = {Entry("a", 5), Entry("b", 6)}, .revision = 6});
  right.ApplyEntry(Entry("b", 7));
  BOOST_TEST(left.Digest() != right.Digest());
  auto warmed_up = Entry("a", 8);
  warmed_up.warmup_remaining = 2s;
  right.ApplyEntry(warmed_up);
  BOOST_TEST(left.Digest() == right.Digest());
  right.ApplyEntry(Leaving("a", 9));
  BOOST_TEST(left.Digest() != right.Digest());
  right.ApplyRemoval("a", 10);
  left.ApplyRemoval("a", 10);
  BOOST_TEST(left.Digest() == right.Digest());
}

BOOST_AUTO_TEST_CASE(ChangesSinceRevisionSynchronizeDirectories) {
  Directory ahead;
  ahead.ApplyList({.entries = {Entry("a", 5), Entry("b", 5), Entry("c", 5)},
                   .revision = 6});
  Directory behind = ahead;
  ahead.ApplyChanges({.since = 6,
                      .revision = 20,
                      .entries = {Leaving("a", 11), Entry("d", 15)},
                      .removed = {{"b", 12}}});
  const auto changes = ahead.ChangesSince(behind.CompleteRevision());
  BOOST_TEST(changes.entries.size() == 2U);
  BOOST_TEST(changes.removed.size() == 1U);
  BOOST_TEST(behind.ApplyChanges(changes));
  BOOST_TEST(behind.Digest() == ahead.Digest());
  BOOST_TEST(behind.CompleteRevision() == 20U);
}

// Changes since a later revision don't include those between the complete
// revision and that one.
BOOST_AUTO_TEST_CASE(ChangesWithGapDoNotAdvanceCompleteRevision) {
  Directory directory;
  directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6});
  directory.ApplyChanges({.since = 9, .revision = 12, .entries = {}});
  BOOST_TEST(directory.CompleteRevision() == 6U);
}

BOOST_AUTO_TEST_CASE(UnknownRevisionReturnsFullList) {
  Directory directory;
  directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6});
  BOOST_TEST(directory.ChangesSince(0).is_full_list);
  BOOST_TEST(directory.ChangesSince(0).entries.size() == 1U);
  BOOST_TEST(!directory.ChangesSince(6).is_full_list);
}

BOOST_AUTO_TEST_CASE(ExpiredRemovalsRequireFullList) {
  Directory directory;
  directory.ApplyList({.entries = {Entry("a", 5)}, .revision = 6});
  for (std::uint64_t revision = 10; revision < 400; ++revision) {
    const auto id = "r" + std::to_string(revision);
    directory.ApplyEntry(Entry(id.c_str(), revision));
    directory.ApplyRemoval(id, revision);
  }
  directory.SetCompleteRevision(400);
  BOOST_TEST(directory.ChangesSince(6).is_full_list);
  BOOST_TEST(!directory.ChangesSince(390).is_full_list);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
