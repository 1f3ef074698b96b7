#include "libraries/membership/state_spread.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(StateSpreadTest)

constexpr NodeAddress kPeer{.ip = 2, .port = 7300};

std::vector<NodeAddress> FleetOf(std::uint32_t size) {
  std::vector<NodeAddress> fleet;
  for (std::uint32_t ip = 2; ip < 2 + size; ++ip) {
    fleet.push_back({.ip = ip, .port = 7300});
  }
  return fleet;
}

struct Fixture {
  Instant now = 100s;
  SeededRandom random{5};
  StateSpread spread{this->random};
};

BOOST_FIXTURE_TEST_CASE(AsksOnlyWhoKnowsMoreAndNotAllTheTime, Fixture) {
  this->spread.SetConfiguration(7, "seven");
  BOOST_TEST(!this->spread.ShouldAsk(this->now, kPeer, 7));
  BOOST_TEST(!this->spread.ShouldAsk(this->now, kPeer, 3));
  BOOST_TEST(this->spread.ShouldAsk(this->now, kPeer, 8));
  BOOST_TEST(!this->spread.ShouldAsk(this->now + 100ms, kPeer, 8));
  BOOST_TEST(this->spread.ShouldAsk(this->now + 300ms, kPeer, 8));
}

BOOST_FIXTURE_TEST_CASE(WhatIsPassedOnComesBackWhole, Fixture) {
  BOOST_TEST(this->spread.Items().empty());
  this->spread.SetConfiguration(7, "seven");
  this->spread.SetList({.entries = {{.id = "i-1",
                                     .service = "drafts",
                                     .address = {.ip = 3, .port = 8000},
                                     .failure_domain = "a",
                                     .slots = 12,
                                     .leaving = true,
                                     .cold_for = 2s,
                                     .started_at = 99,
                                     .revision = 41}},
                        .revision = 42});
  const auto items = this->spread.Items();
  BOOST_TEST(StateSpread::FindConfiguration(items)->text == "seven");
  BOOST_TEST(StateSpread::FindConfiguration(items)->number == 7U);
  const auto list = StateSpread::ReadList(items);
  BOOST_TEST_REQUIRE(list.has_value());
  BOOST_TEST(list->revision == 42U);
  const auto& entry = list->entries.at(0);
  BOOST_TEST(entry.id == "i-1");
  BOOST_TEST(entry.slots == 12);
  BOOST_TEST(entry.leaving);
  BOOST_TEST((entry.cold_for == 2s));
  BOOST_TEST(entry.started_at == 99U);
}

BOOST_FIXTURE_TEST_CASE(AListThatCantBeReadIsNone, Fixture) {
  this->spread.SetList({.entries = {{.id = "i-1"}}, .revision = 42});
  auto items = this->spread.Items();
  items.back().text.pop_back();
  BOOST_TEST(!StateSpread::ReadList(items).has_value());
  BOOST_TEST(!StateSpread::ReadList({}).has_value());
}

BOOST_FIXTURE_TEST_CASE(AsksForTheListWhileThePlatformIsSilent, Fixture) {
  const auto fleet = FleetOf(5);
  BOOST_TEST(!this->spread.PeerForList(this->now, true, fleet).has_value());
  BOOST_TEST(!this->spread.PeerForList(this->now, false, {}).has_value());
  BOOST_TEST(this->spread.PeerForList(this->now, false, fleet).has_value());
  BOOST_TEST(
      !this->spread.PeerForList(this->now + 100ms, false, fleet).has_value());
  BOOST_TEST(
      this->spread.PeerForList(this->now + 1s, false, fleet).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
