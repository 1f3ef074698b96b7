#include "libraries/routing/endpoint_chooser.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace agaterun::routing {

BOOST_AUTO_TEST_SUITE(EndpointChooserTest)

constexpr std::uint16_t kPort = 7300;

NodeAddress NodeAt(std::uint32_t index) {
  return {.ip = 0x0a010000 + index, .port = kPort};
}

// Three nodes of one service, each in another failure domain, and an origin on
// a fourth node.
struct Fixture {
  Fixture() {
    std::vector<membership::EndpointEntry> entries;
    for (std::uint32_t index = 1; index <= 3; ++index) {
      entries.push_back(
          {.id = std::to_string(index),
           .service = "ledger",
           .address = {.ip = NodeAt(index).ip, .port = 8000},
           .failure_domain = std::string(1, static_cast<char>('a' + index - 1)),
           .slots = 20,
           .started_at = 5});
    }
    this->fleet.SetList(this->now, entries);
  }

  void ReportLoad(std::uint32_t index, const decision::LoadReport& load) {
    this->fleet.RecordLoad(this->now, NodeAt(index), load);
  }

  std::map<std::uint32_t, int> ChooseMany(int count) {
    std::map<std::uint32_t, int> counts;
    for (int draw = 0; draw < count; ++draw) {
      const auto node = this->chooser.Choose(
          this->now, {.service = "ledger",
                      .excluded = this->excluded,
                      .response_bytes = this->response_bytes,
                      .target_latency = this->target_latency});
      if (node) {
        counts[node->ip - NodeAt(0).ip] += 1;
        this->fleet.AttemptSent(this->now, *node);
      }
    }
    return counts;
  }

  Instant now = 100s;
  SeededRandom random{11};
  membership::Fleet fleet{
      {.self = NodeAt(9), .node_port = kPort, .failure_domain = "a"}};
  EndpointChooser chooser{{.self = NodeAt(9), .failure_domain = "a"},
                          this->fleet,
                          this->random};
  std::vector<NodeAddress> excluded;
  double response_bytes = 0;
  Duration target_latency = 1s;
};

BOOST_FIXTURE_TEST_CASE(FullEndpointInDomainSpreadsRequestsOverAll, Fixture) {
  const auto counts = this->ChooseMany(60);
  BOOST_TEST(counts.size() == 3U);
  for (const auto& [index, count] : counts) {
    BOOST_TEST(count >= 15, "endpoint " << index << " got " << count);
  }
}

BOOST_FIXTURE_TEST_CASE(FastEndpointGetsMoreRequests, Fixture) {
  this->ReportLoad(1, {.limit = 20, .service_time = 80ms, .slowness = 1.33});
  this->ReportLoad(2, {.limit = 20, .service_time = 20ms, .slowness = 0.33});
  this->ReportLoad(3, {.limit = 20, .service_time = 80ms, .slowness = 1.33});
  const auto counts = this->ChooseMany(30);
  BOOST_TEST(counts.at(2) >= 20);
}

BOOST_FIXTURE_TEST_CASE(FailingEndpointIsAvoided, Fixture) {
  this->ReportLoad(1,
                   {.limit = 20, .service_time = 20ms, .failure_share = 0.5});
  this->ReportLoad(2, {.limit = 20, .service_time = 20ms});
  this->ReportLoad(3, {.limit = 20, .service_time = 20ms});
  const auto counts = this->ChooseMany(30);
  BOOST_TEST(!counts.contains(1));
}

// Failure: two of three endpoints of a deep service near its limit have a low
// failure ratio. If all requests went to the third one, its queue would fill up
// while the other two are idle.
BOOST_FIXTURE_TEST_CASE(LowFailureRatioIsPreferredToLongQueue, Fixture) {
  this->ReportLoad(
      1, {.running = 20, .queued = 100, .limit = 20, .service_time = 20ms});
  this->ReportLoad(2,
                   {.limit = 20, .service_time = 40ms, .failure_share = 0.12});
  this->ReportLoad(3,
                   {.limit = 20, .service_time = 40ms, .failure_share = 0.12});
  const auto counts = this->ChooseMany(20);
  BOOST_TEST(!counts.contains(1));
}

BOOST_FIXTURE_TEST_CASE(LeavingOrDownEndpointGetsNoRequests, Fixture) {
  this->ReportLoad(1, {.limit = 20, .leaving = true});
  this->ReportLoad(2, {.limit = 20, .backend_up = false});
  const auto counts = this->ChooseMany(30);
  BOOST_TEST(counts.size() == 1U);
  BOOST_TEST(counts.contains(3));
}

BOOST_FIXTURE_TEST_CASE(EndpointListedAsLeavingGetsNoRequests, Fixture) {
  auto entries = this->fleet.List();
  entries[0].leaving = true;
  this->fleet.SetList(this->now, entries);
  BOOST_TEST(!this->ChooseMany(30).contains(1));
}

BOOST_FIXTURE_TEST_CASE(UnresponsiveNodeGetsNoRequestsUntilItReports, Fixture) {
  this->excluded = {NodeAt(2), NodeAt(3)};
  BOOST_TEST(this->ChooseMany(1).size() == 1U);
  this->now += 600ms;
  BOOST_TEST(this->ChooseMany(1).empty());
  this->ReportLoad(1, {.running = 1, .limit = 20});
  BOOST_TEST(this->ChooseMany(1).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(NodeIsRetriedAfterBackoffFollowingLoss, Fixture) {
  this->excluded = {NodeAt(2), NodeAt(3)};
  BOOST_TEST(this->ChooseMany(1).size() == 1U);
  this->fleet.AttemptEnded(this->now, NodeAt(1), /*is_unresponsive=*/true);
  BOOST_TEST(this->ChooseMany(1).empty());
  this->now += 150ms;
  BOOST_TEST(this->ChooseMany(1).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(UsableSlotsExcludesLeavingNodes, Fixture) {
  BOOST_TEST(this->chooser.UsableSlots(this->now, "ledger") == 60);
  this->ReportLoad(1, {.limit = 18});
  this->ReportLoad(2, {.limit = 18, .leaving = true});
  BOOST_TEST(this->chooser.UsableSlots(this->now, "ledger") == 38);
  BOOST_TEST(this->chooser.UsableSlots(this->now, "unknown") == 0);
}

// Traffic between failure domains costs callers time and operators money, so
// random differences between endpoints must not move requests away from the own
// failure domain while it has free slots.
BOOST_FIXTURE_TEST_CASE(OwnDomainIsPreferredWhileItHasFreeSlots, Fixture) {
  this->ReportLoad(1, {.running = 10, .limit = 20, .service_time = 110ms});
  this->ReportLoad(2, {.running = 2, .limit = 20, .service_time = 90ms});
  this->ReportLoad(3, {.running = 2, .limit = 20, .service_time = 90ms});
  const auto counts = this->ChooseMany(4);
  BOOST_TEST(counts.at(1) == 4);
}

// During a surge in one failure domain, only the requests that find no free
// slot at its endpoint go to the others.
BOOST_FIXTURE_TEST_CASE(OnlyOverflowLeavesOwnDomain, Fixture) {
  for (std::uint32_t index = 1; index <= 3; ++index) {
    this->ReportLoad(index, {.limit = 20, .service_time = 100ms});
  }
  const auto counts = this->ChooseMany(30);
  BOOST_TEST(counts.at(1) >= 14);
  BOOST_TEST(counts.at(1) <= 20);
  BOOST_TEST(counts.at(2) >= 3);
  BOOST_TEST(counts.at(3) >= 3);
}

BOOST_FIXTURE_TEST_CASE(FailingOrSlowOwnDomainIsAvoided, Fixture) {
  this->ReportLoad(1,
                   {.limit = 20, .service_time = 100ms, .failure_share = 0.6});
  this->ReportLoad(2, {.limit = 20, .service_time = 100ms});
  this->ReportLoad(3, {.limit = 20, .service_time = 100ms});
  BOOST_TEST(!this->ChooseMany(10).contains(1));
  this->ReportLoad(1, {.limit = 20, .service_time = 1200ms, .slowness = 2.57});
  BOOST_TEST(!this->ChooseMany(10).contains(1));
}

// Failure: callers are evenly distributed over all failure domains, and the
// endpoint of one domain got a few long requests. If its higher mean service
// time counted, all requests would move to other failure domains and stay
// there.
BOOST_FIXTURE_TEST_CASE(LongRequestsDoNotMakeEndpointAvoided, Fixture) {
  this->ReportLoad(1, {.limit = 20, .service_time = 500ms, .slowness = 1});
  this->ReportLoad(2, {.limit = 20, .service_time = 40ms, .slowness = 1});
  this->ReportLoad(3, {.limit = 20, .service_time = 40ms, .slowness = 1});
  BOOST_TEST(this->ChooseMany(10).at(1) == 10);
}

// Endpoints run on hardware of different speed, and one route has large
// responses. These come from the own failure domain while it has free slots and
// the target latency allows it; small ones come from the fastest endpoint.
BOOST_FIXTURE_TEST_CASE(LargeResponsesPreferOwnDomain, Fixture) {
  const auto report_all = [this](std::uint32_t running_in_domain) {
    for (std::uint32_t index = 1; index <= 3; ++index) {
      this->ReportLoad(index, {.running = index == 1 ? running_in_domain : 4U,
                               .limit = 20,
                               .service_time = 100ms,
                               .slowness = index == 1 ? 1.6 : 0.7});
    }
  };
  report_all(4);
  BOOST_TEST(!this->ChooseMany(5).contains(1));
  this->response_bytes = 5000;
  report_all(4);
  BOOST_TEST(this->ChooseMany(5).at(1) == 5);
  report_all(20);
  BOOST_TEST(!this->ChooseMany(5).contains(1));
  this->target_latency = 150ms;
  report_all(4);
  BOOST_TEST(!this->ChooseMany(5).contains(1));
}

// Failure: many origins choose among many endpoints by the same outdated load
// reports, in which one endpoint looks slightly better than all others, and
// send all their requests to it.
BOOST_FIXTURE_TEST_CASE(OutdatedReportsDoNotConcentrateRequests, Fixture) {
  constexpr std::uint32_t kEndpoints = 18;
  constexpr int kOrigins = 40;
  constexpr int kRequests = 5;
  std::vector<membership::EndpointEntry> entries;
  for (std::uint32_t index = 1; index <= kEndpoints; ++index) {
    entries.push_back({.id = std::to_string(index),
                       .service = "ledger",
                       .address = {.ip = NodeAt(index).ip, .port = 8000},
                       .failure_domain = "a",
                       .slots = 50,
                       .started_at = 5});
  }
  std::map<std::uint32_t, int> counts;
  for (int origin = 0; origin < kOrigins; ++origin) {
    this->fleet = membership::Fleet(
        {.self = NodeAt(99), .node_port = kPort, .failure_domain = "a"});
    this->fleet.SetList(this->now, entries);
    for (std::uint32_t index = 1; index <= kEndpoints; ++index) {
      this->ReportLoad(index, {.running = 20,
                               .limit = 50,
                               .service_time = index == 7 ? 80ms : 100ms});
    }
    for (const auto& [index, count] : this->ChooseMany(kRequests)) {
      counts[index] += count;
    }
  }
  constexpr int kMean = kOrigins * kRequests / static_cast<int>(kEndpoints);
  BOOST_TEST(counts.size() == kEndpoints);
  for (const auto& [index, count] : counts) {
    BOOST_TEST(count <= 5 * kMean, "endpoint " << index << " got " << count);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::routing
