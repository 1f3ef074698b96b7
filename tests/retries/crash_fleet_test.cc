#include "tests/retries/crash_fleet.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::retries {

BOOST_AUTO_TEST_SUITE(CrashFleetTest)

// The users' rule: late retries of a crashing request.
constexpr int kMaxLateRetries = 3;

// Until endpoints have started again and the trial has taken place.
constexpr Duration kRecovery = 8s;

constexpr std::uint64_t kSequences = 100;

void CheckPopularIsServed(CrashFleet& fleet, const char* what) {
  fleet.AdvanceTo(fleet.LastCrash() + kRecovery);
  fleet.TakePopular();
  fleet.AdvanceTo(fleet.Now() + 5s);
  const auto popular = fleet.TakePopular();
  BOOST_TEST(popular.sent > 20, what);
  BOOST_TEST(popular.quarantined == 0, what);
}

// Failure: under load a crashing request was passed on for ever. The popular
// request is in flight at nearly every crash that it causes.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedAndPopularOneIsServed) {
  for (const int nodes : {3, 12, 40}) {
    for (std::uint64_t seed = 1; seed <= kSequences / 10; ++seed) {
      BOOST_TEST_CONTEXT(nodes << " nodes, seed " << seed) {
        CrashFleet fleet({.nodes = nodes, .seed = seed});
        fleet.AdvanceTo(160s);
        BOOST_TEST(fleet.CrashesCaused() >= 3);
        BOOST_TEST(fleet.LateRetries() <= kMaxLateRetries);
        CheckPopularIsServed(fleet, "popular");
      }
    }
  }
}

// Failure: a crashing request found nodes that knew of too few crashes, since
// each heartbeat reaches a part of a large fleet.
BOOST_AUTO_TEST_CASE(CrashingRequestIsStoppedInLargeFleet) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CrashFleet fleet({.nodes = 240,
                        .endpoints = 30,
                        .heartbeat_targets = 16,
                        .crashing_interval = 3s,
                        .seed = seed});
      fleet.AdvanceTo(150s);
      BOOST_TEST(fleet.CrashesCaused() >= 3);
      BOOST_TEST(fleet.LateRetries() <= kMaxLateRetries);
      CheckPopularIsServed(fleet, "popular");
    }
  }
}

// Failure: a popular request was refused for two minutes after crashes with
// another cause, one after the other or at the same moment.
BOOST_AUTO_TEST_CASE(PopularRequestIsServedAfterAnySequenceOfCrashes) {
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CrashFleet fleet({.nodes = 8,
                        .endpoints = 4,
                        .crashing_interval = Duration{},
                        .seed = seed});
      fleet.PlayRandomFaults(140s);
      CheckPopularIsServed(fleet, "popular");
    }
  }
}

// Both at once: a crashing request among crashes with another cause.
BOOST_AUTO_TEST_CASE(NoSequenceOfCrashesLetsCrashingRequestThrough) {
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      CrashFleet fleet({.nodes = 8, .endpoints = 4, .seed = seed});
      fleet.PlayRandomFaults(150s);
      BOOST_TEST(fleet.LateRetries() <= kMaxLateRetries);
      CheckPopularIsServed(fleet, "popular");
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::retries
