#include "libraries/membership/heartbeat_plan.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace agaterun::membership {

BOOST_AUTO_TEST_SUITE(HeartbeatPlanTest)

constexpr std::uint16_t kPort = 7300;
constexpr std::uint32_t kDomainAddressStride = 1000;

// Failure domains "0", "1" ... of `size` nodes each. The node under test is the
// first node of the first failure domain.
struct Fixture {
  void BuildFleet(std::uint32_t domains, std::uint32_t size) {
    std::vector<EndpointEntry> entries;
    for (std::uint32_t domain = 0; domain < domains; ++domain) {
      for (std::uint32_t index = 1; index <= size; ++index) {
        entries.push_back(
            {.id = std::to_string(domain) + "-" + std::to_string(index),
             .service = index % 2 == 0 ? "drafts" : "vault",
             .address = {.ip = domain * kDomainAddressStride + index,
                         .port = 8000},
             .failure_domain = std::to_string(domain),
             .slots = 10,
             .started_at = 5});
      }
    }
    this->fleet.SetList(this->now, entries);
  }

  std::vector<HeartbeatTarget> Next(
      const std::vector<NodeAddress>& waiting = {}) {
    return this->plan.Next(this->now, this->fleet, waiting);
  }

  static bool IsInOwnDomain(const HeartbeatTarget& target) {
    return target.node.ip < kDomainAddressStride;
  }

  Instant now = 100s;
  SeededRandom random{5};
  NodeAddress self{.ip = 1, .port = kPort};
  Fleet fleet{{.self = this->self, .node_port = kPort, .failure_domain = "0"}};
  HeartbeatPlan plan{this->self, this->random};
};

BOOST_FIXTURE_TEST_CASE(HeartbeatsReachWholeDomain, Fixture) {
  this->BuildFleet(3, 13);
  const auto targets = this->Next();
  BOOST_TEST(std::count_if(targets.begin(), targets.end(), IsInOwnDomain) ==
             12);
}

// Messages between failure domains cost more, so only their aggregators
// exchange each heartbeat.
BOOST_FIXTURE_TEST_CASE(LimitsHeartbeatsToOtherDomains, Fixture) {
  this->BuildFleet(5, 39);
  int other_domain_targets = 0;
  constexpr int kRounds = 10;
  for (int round = 0; round < kRounds; ++round) {
    const auto targets = this->Next();
    other_domain_targets += static_cast<int>(targets.size()) -
                            static_cast<int>(std::count_if(
                                targets.begin(), targets.end(), IsInOwnDomain));
  }
  // Three endpoints of each of two services every second round. If this node is
  // an aggregator, also two aggregators of each of four domains every round.
  const bool is_aggregator = this->fleet.IsAggregator(this->now, this->self);
  BOOST_TEST(other_domain_targets <=
             kRounds * (is_aggregator ? 8 : 0) + kRounds / 2 * 6);
}

BOOST_FIXTURE_TEST_CASE(LargeFleetHasLimitedTargetCount, Fixture) {
  this->BuildFleet(5, 142);
  for (int round = 0; round < 10; ++round) {
    BOOST_TEST(this->Next().size() <= 12U + 2 + 8 + 6);
  }
}

BOOST_FIXTURE_TEST_CASE(LostNodeIsProbedUntilItReports, Fixture) {
  this->BuildFleet(2, 30);
  const NodeAddress lost{.ip = kDomainAddressStride + 7, .port = kPort};
  const auto is_probed = [&] {
    const auto targets = this->Next();
    return std::any_of(targets.begin(), targets.end(), [&](const auto& target) {
      return target.node == lost && target.wants_reply;
    });
  };
  this->fleet.AttemptSent(this->now, lost);
  this->fleet.AttemptEnded(this->now, lost, /*is_unresponsive=*/true);
  BOOST_TEST(is_probed());
  BOOST_TEST(is_probed());
  this->now += 100ms;
  this->fleet.Received(this->now, lost);
  BOOST_TEST(!(is_probed() && is_probed()));
}

BOOST_FIXTURE_TEST_CASE(WaitingOriginReceivesHeartbeat, Fixture) {
  this->BuildFleet(5, 142);
  const NodeAddress waiting{.ip = 4 * kDomainAddressStride + 99, .port = kPort};
  const auto targets = this->Next({waiting, this->self});
  std::map<NodeAddress, int> counts;
  for (const auto& target : targets) {
    counts[target.node] += 1;
  }
  BOOST_TEST(counts[waiting] == 1);
  BOOST_TEST(counts[this->self] == 0);
}

// All nodes choose the same aggregators, and replace those that have become
// unresponsive.
BOOST_FIXTURE_TEST_CASE(UnresponsiveAggregatorIsReplaced, Fixture) {
  this->BuildFleet(1, 20);
  const auto before = this->fleet.Aggregators(this->now, "0");
  BOOST_TEST(before.size() == 2U);
  for (std::uint32_t index = 2; index <= 20; ++index) {
    const NodeAddress node{.ip = index, .port = kPort};
    this->fleet.Received(this->now, node);
    this->fleet.Received(this->now + (node == before[0] ? 0s : 2s), node);
  }
  const auto after = this->fleet.Aggregators(this->now + 2s, "0");
  if (before[0] != this->self) {
    BOOST_TEST(
        (std::find(after.begin(), after.end(), before[0]) == after.end()));
  }
  BOOST_TEST(after.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::membership
