#include "libraries/membership/state_gossip.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(StateGossipTest)

constexpr NodeAddress kPeer{.ip = 2, .port = 7300};

EndpointEntry Entry() {
  return {.id = "i-1",
          .service = "drafts",
          .address = {.ip = 3, .port = 8000},
          .failure_domain = "a",
          .slots = 12,
          .leaving = true,
          .warmup_remaining = 2s,
          .started_at = 99,
          .revision = 41};
}

struct Fixture {
  Fixture() {
    this->endpoints.ApplyList({.entries = {Entry()}, .revision = 42});
    this->gossip.SetConfiguration(7, "seven");
  }

  Instant now = 100s;
  Directory endpoints;
  StateGossip gossip;
};

BOOST_FIXTURE_TEST_CASE(PeerQueriesAreRateLimited, Fixture) {
  BOOST_TEST(this->gossip.ShouldQuery(this->now, kPeer));
  BOOST_TEST(!this->gossip.ShouldQuery(this->now + 100ms, kPeer));
  BOOST_TEST(this->gossip.ShouldQuery(this->now + 300ms, kPeer));
}

BOOST_FIXTURE_TEST_CASE(ItemsRoundTrip, Fixture) {
  const auto items = this->gossip.Items({}, this->endpoints);
  BOOST_TEST(StateGossip::FindConfiguration(items)->text == "seven");
  BOOST_TEST(StateGossip::FindConfiguration(items)->number == 7U);
  const auto changes = StateGossip::ReadEndpoints(items);
  BOOST_TEST_REQUIRE(changes.has_value());
  BOOST_TEST(changes->is_full_list);
  BOOST_TEST(changes->revision == 42U);
  const auto& entry = changes->entries.at(0);
  BOOST_TEST(entry.id == "i-1");
  BOOST_TEST(entry.slots == 12);
  BOOST_TEST(entry.leaving);
  BOOST_TEST((entry.warmup_remaining == 2s));
  BOOST_TEST(entry.started_at == 99U);
}

BOOST_FIXTURE_TEST_CASE(UpToDatePeerGetsNoChanges, Fixture) {
  const auto items =
      this->gossip.Items(this->gossip.Known(42), this->endpoints);
  BOOST_TEST((StateGossip::FindConfiguration(items) == nullptr));
  const auto changes = StateGossip::ReadEndpoints(items);
  BOOST_TEST(changes->entries.empty());
  BOOST_TEST(!changes->is_full_list);
}

BOOST_FIXTURE_TEST_CASE(EmptyNodeSendsNoItems, Fixture) {
  BOOST_TEST(StateGossip().Items({}, Directory()).empty());
}

BOOST_FIXTURE_TEST_CASE(MalformedEndpointsAreIgnored, Fixture) {
  auto items = this->gossip.Items({}, this->endpoints);
  items.back().text.pop_back();
  BOOST_TEST(!StateGossip::ReadEndpoints(items).has_value());
  BOOST_TEST(!StateGossip::ReadEndpoints({}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
