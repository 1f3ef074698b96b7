#include "libraries/membership/fleet.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(FleetTest)

constexpr std::uint16_t kPort = 7300;
constexpr NodeAddress kNode{.ip = 1, .port = kPort};

EndpointEntry Entry(const char* id, std::uint64_t started_at) {
  return {.id = id,
          .service = "drafts",
          .address = {.ip = 1, .port = 8000},
          .failure_domain = "a",
          .slots = 10,
          .started_at = started_at};
}

struct Fixture {
  Instant now = 100s;
  Fleet fleet{{.self = {.ip = 9, .port = kPort},
               .node_port = kPort,
               .backend_port = 8000,
               .failure_domain = "a"}};
};

// An entry of another writer, written after the backend server had started.
EndpointEntry ForeignEntry(const char* id, NodeAddress address) {
  return {.id = id,
          .service = "exporter",
          .address = address,
          .failure_domain = "a",
          .slots = 1,
          .started_at = 90};
}

BOOST_FIXTURE_TEST_CASE(NewerEntryAtSameAddressIsUsed, Fixture) {
  auto old_entry = Entry("old", 5);
  old_entry.service = "ledger";
  this->fleet.SetList(this->now, {Entry("new", 9), old_entry});
  BOOST_TEST(this->fleet.EntryAt({.ip = 1, .port = 8000})->id == "new");
  BOOST_TEST(this->fleet.Find(kNode)->service == "drafts");
  BOOST_TEST(this->fleet.NodesOf("ledger").empty());
}

// Failure: an entry of another writer took the place of the backend server on
// the same host, at its address or at another port, so that its service had no
// endpoint left.
BOOST_FIXTURE_TEST_CASE(EntryOfUnnamedServiceTakesNoEndpointsPlace, Fixture) {
  for (const std::uint16_t port : {9100, 8000}) {
    BOOST_TEST_CONTEXT("port " << port) {
      const auto foreign = ForeignEntry("x", {.ip = 1, .port = port});
      for (const auto& entries : {std::vector{Entry("a", 5), foreign},
                                  std::vector{foreign, Entry("a", 5)}}) {
        BOOST_TEST(this->fleet.SetNamedServices({"drafts", "vault"}));
        this->fleet.SetList(this->now, entries);
        BOOST_TEST(this->fleet.NodesOf("drafts").size() == 1U);
        BOOST_TEST(this->fleet.Find(kNode)->instance == "a");
        BOOST_TEST(this->fleet.EntryAt({.ip = 1, .port = 8000})->id == "a");
        this->fleet.SetNamedServices({});
      }
    }
  }
}

// Failure: nodes that don't exist counted as part of the fleet, and could be
// chosen as aggregators.
BOOST_FIXTURE_TEST_CASE(EntryOfUnnamedServiceAddsNoNode, Fixture) {
  this->fleet.SetNamedServices({"drafts"});
  this->fleet.SetList(
      this->now, {Entry("a", 5), ForeignEntry("x", {.ip = 2, .port = 9100})});
  BOOST_TEST(this->fleet.All().size() == 1U);
  BOOST_TEST(this->fleet.List().size() == 1U);
}

// The opposite: the node of a backend server whose service the configuration
// doesn't name, or not yet, is part of the fleet.
BOOST_FIXTURE_TEST_CASE(UnnamedServiceAtUsualPortIsListed, Fixture) {
  this->fleet.SetNamedServices({"vault"});
  this->fleet.SetList(this->now, {Entry("a", 5)});
  BOOST_TEST(this->fleet.Find(kNode)->listed);
  BOOST_TEST(this->fleet.EntryAt({.ip = 1, .port = 8000})->id == "a");
  // A newer one at its address whose service is named takes its place.
  auto next = Entry("b", 6);
  next.service = "vault";
  this->fleet.SetList(this->now, {next, Entry("a", 5)});
  BOOST_TEST(this->fleet.Find(kNode)->instance == "b");
  BOOST_TEST(!this->fleet.SetNamedServices({"vault"}));
}

BOOST_FIXTURE_TEST_CASE(ChangedServiceAtAddressResetsLoad, Fixture) {
  this->fleet.SetList(this->now, {Entry("a", 5)});
  this->fleet.RecordLoad(this->now, kNode, {.leaving = true});
  auto other = Entry("b", 9);
  other.service = "vault";
  this->fleet.SetList(this->now, {other});
  BOOST_TEST(!this->fleet.Find(kNode)->load_reported_at.has_value());
  BOOST_TEST(this->fleet.NodesOf("vault").size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(UnlistedNodeStaysWhileItSendsMessages, Fixture) {
  this->fleet.SetList(this->now, {Entry("a", 5)});
  this->fleet.Received(this->now, kNode);
  this->fleet.SetList(this->now + 1s, {});
  BOOST_TEST((this->fleet.Find(kNode) != nullptr));
  this->fleet.SetList(this->now + 3s, {});
  BOOST_TEST((this->fleet.Find(kNode) == nullptr));
}

BOOST_FIXTURE_TEST_CASE(NodeIsUnresponsiveOnlyWithPendingAttempts, Fixture) {
  this->fleet.SetList(this->now, {Entry("a", 5)});
  BOOST_TEST(this->fleet.UnresponsiveNodes(this->now + 10s).empty());
  this->fleet.AttemptSent(this->now, kNode);
  BOOST_TEST(this->fleet.UnresponsiveNodes(this->now + 900ms).empty());
  BOOST_TEST(this->fleet.UnresponsiveNodes(this->now + 1100ms).size() == 1U);
  this->fleet.Received(this->now + 1100ms, kNode);
  BOOST_TEST(this->fleet.UnresponsiveNodes(this->now + 1200ms).empty());
}

BOOST_FIXTURE_TEST_CASE(SimultaneousLossesCountOnce, Fixture) {
  this->fleet.SetList(this->now, {Entry("a", 5)});
  for (int attempt = 0; attempt < 5; ++attempt) {
    this->fleet.AttemptSent(this->now, kNode);
  }
  for (int attempt = 0; attempt < 5; ++attempt) {
    this->fleet.AttemptEnded(this->now + 1ms, kNode, /*is_unresponsive=*/true);
  }
  BOOST_TEST(this->fleet.Find(kNode)->losses == 1);
  BOOST_TEST(this->fleet.Find(kNode)->in_flight == 0);
}

// Guards against requests for a backend server that has stated that it is
// leaving, after its entry was removed and returned or its node restarted.
BOOST_FIXTURE_TEST_CASE(StatedLeavingOutlastsListAndReports, Fixture) {
  this->fleet.SetList(this->now, {Entry("a", 5)});
  this->fleet.RecordStatedLeaving(kNode);
  this->fleet.RecordLoad(this->now, kNode, {.leaving = false});
  BOOST_TEST(this->fleet.Find(kNode)->stated_leaving);
  this->now += 10s;
  this->fleet.SetList(this->now, {});
  BOOST_TEST((this->fleet.Find(kNode) == nullptr));
  this->fleet.SetList(this->now, {Entry("a", 5)});
  BOOST_TEST(this->fleet.Find(kNode)->stated_leaving);
  // An older entry, such as one of a restored copy.
  this->fleet.SetList(this->now, {Entry("before", 4)});
  BOOST_TEST(this->fleet.Find(kNode)->stated_leaving);
}

BOOST_FIXTURE_TEST_CASE(NextIncarnationIsNotLeaving, Fixture) {
  for (const auto& next : {Entry("a", 6), Entry("b", 6), Entry("b", 5)}) {
    this->fleet.SetList(this->now, {Entry("a", 5)});
    this->fleet.RecordStatedLeaving(kNode);
    this->fleet.SetList(this->now, {next});
    BOOST_TEST(!this->fleet.Find(kNode)->stated_leaving);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
