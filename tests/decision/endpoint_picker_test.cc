#include "libraries/decision/endpoint_picker.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "libraries/decision/endpoint_score.h"
#include "tests/decision/origin_fixture.h"

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(EndpointPickerTest)

constexpr int kPicks = 3000;

// Endpoints 1 to 6, two in each of three failure domains. The origin is in the
// first domain. All endpoints are initially warm and equally fast.
struct Fixture {
  Fixture() {
    for (int number = 1; number <= 6; ++number) {
      this->Report(number, {.running = 8, .limit = 80});
      this->Complete(number, 20ms);
    }
    this->now += 10s;
    for (int number = 1; number <= 6; ++number) {
      this->Complete(number, 20ms);
      this->Report(number, {.running = 8, .limit = 80});
    }
  }

  void Report(int number, const LoadReport& load) {
    this->peers.ReportLoad(this->now, NodeOf(number), load);
  }
  void Complete(int number, Duration elapsed) {
    this->peers.RecordAttemptStarted(this->now, NodeOf(number));
    this->peers.RecordAttemptCompleted(this->now, NodeOf(number), elapsed,
                                       false);
    this->picker.Observe("vault", elapsed);
  }
  void Lose(int number) {
    this->peers.RecordAttemptStarted(this->now, NodeOf(number));
    this->peers.AttemptLost(this->now, NodeOf(number));
  }

  // How often each endpoint is picked. The first `kept` requests stay in
  // flight.
  std::vector<int> Count(int kept = 0) {
    std::vector<int> counts(7);
    for (int pick = 0; pick < kPicks; ++pick) {
      const auto node = this->picker.Pick(this->now, this->service, {});
      if (node) {
        const int number = node->port - NodeOf(0).port;
        ++counts[static_cast<std::size_t>(number)];
        if (pick < kept) {
          this->peers.RecordAttemptStarted(this->now, *node);
        }
      }
    }
    return counts;
  }

  Instant now = 100s;
  SeededRandom random{1};
  PeerTable peers;
  std::shared_ptr<const ServiceState> service = MakeService("vault", 6, 1, 3);
  EndpointPicker picker{{.origin = {.self = NodeOf(99),
                                    .region = "cascadia",
                                    .failure_domain = "domain0"}},
                        peers,
                        random};
};

BOOST_AUTO_TEST_CASE(OwnFailureDomainIsPreferredUntilLoaded) {
  Fixture calm;
  const auto near = calm.Count();
  BOOST_TEST(near[1] + near[4] == kPicks);
  Fixture loaded;
  loaded.Report(1, {.running = 80, .limit = 80});
  loaded.Report(4, {.running = 80, .limit = 80});
  const auto counts = loaded.Count(100);
  BOOST_TEST(counts[2] + counts[3] + counts[5] + counts[6] > kPicks / 3);
}

BOOST_AUTO_TEST_CASE(LeavingAndDownEndpointsGetNoRequests) {
  Fixture fixture;
  fixture.Report(1, {.leaving = true});
  fixture.peers.At(NodeOf(2)).listed_as_leaving = true;
  fixture.Report(3, {.backend_up = false});
  const auto counts = fixture.Count(500);
  BOOST_TEST(counts[1] + counts[2] + counts[3] == 0);
  BOOST_TEST(counts[4] > 0);
  // Probed later, because another host may have taken over the address.
  fixture.now += 6s;
  const auto& left = fixture.peers.At(NodeOf(1));
  BOOST_TEST((UsabilityOf(fixture.now, left) == Usability::kProbe));
}

BOOST_AUTO_TEST_CASE(SkipTimeAfterLossesGrowsThenEndpointIsProbed) {
  Fixture fixture;
  auto& peer = fixture.peers.At(NodeOf(1));
  Duration last_skip{};
  for (int loss = 0; loss < 8; ++loss) {
    fixture.Lose(1);
    const auto lost = fixture.now;
    while (UsabilityOf(fixture.now, peer) == Usability::kUnusable) {
      fixture.now += 1ms;
    }
    const auto skip = fixture.now - lost;
    BOOST_TEST((skip > last_skip || skip == 1s));
    last_skip = skip;
    BOOST_TEST((UsabilityOf(fixture.now, peer) == Usability::kProbe));
  }
  BOOST_TEST((last_skip == 1s));
  // Only one probe is allowed at a time. Its response makes the endpoint
  // usable.
  fixture.peers.RecordAttemptStarted(fixture.now, NodeOf(1));
  BOOST_TEST((UsabilityOf(fixture.now, peer) == Usability::kUnusable));
  fixture.peers.RecordAttemptCompleted(fixture.now, NodeOf(1), 20ms, false);
  BOOST_TEST((UsabilityOf(fixture.now, peer) == Usability::kUsable));
}

BOOST_AUTO_TEST_CASE(FalseIdleReportAttractsBoundedTraffic) {
  Fixture fixture;
  for (int number = 1; number <= 6; ++number) {
    fixture.Report(number, {.running = 60, .limit = 80});
  }
  fixture.Report(1, {.running = 0, .limit = 100000});
  fixture.Count(600);
  // The load cost of three quarters full is 2.5 times that of idle. Beyond this
  // factor, this origin's own requests in flight outweigh the reports.
  const int false_report = fixture.peers.At(NodeOf(1)).in_flight;
  const int true_report = fixture.peers.At(NodeOf(4)).in_flight;
  constexpr int kOriginSlots = 10;  // An eighth of the slots.
  BOOST_TEST(false_report + kOriginSlots <= 2.7 * (true_report + kOriginSlots));
}

BOOST_AUTO_TEST_CASE(SlowFailingColdAndUnresponsiveEndpointsGetFewRequests) {
  const auto fraction = [](Fixture& fixture) {
    const auto counts = fixture.Count();
    return static_cast<double>(counts[1]) / kPicks;
  };
  Fixture slow;
  for (int sample = 0; sample < 20; ++sample) {
    slow.Complete(1, 400ms);
  }
  BOOST_TEST(fraction(slow) < 0.01);
  Fixture failing;
  for (int sample = 0; sample < 20; ++sample) {
    failing.peers.RecordAttemptStarted(failing.now, NodeOf(1));
    failing.peers.RecordAttemptCompleted(failing.now, NodeOf(1), 1us, true);
  }
  BOOST_TEST(fraction(failing) < 0.01);
  Fixture cold;
  cold.peers.ReportHeartbeat(cold.now, {.from = NodeOf(1), .incarnation = 2});
  BOOST_TEST(fraction(cold) < 0.01);
  Fixture unresponsive;
  unresponsive.peers.RecordAttemptStarted(unresponsive.now, NodeOf(1));
  unresponsive.now += 400ms;
  BOOST_TEST(fraction(unresponsive) < 0.01);
}

BOOST_AUTO_TEST_CASE(SubsetIsBoundedStableAndIncludesOtherRegions) {
  std::vector<EndpointState> endpoints;
  for (int number = 0; number < 100; ++number) {
    endpoints.push_back(
        {.node = NodeOf(number),
         .region = number < 70 ? "cascadia" : "elsewhere",
         .failure_domain = "domain" + std::to_string(number % 3)});
  }
  const SubsetOrigin origin = {
      .self = NodeOf(999), .region = "cascadia", .failure_domain = "domain0"};
  const auto nodes = [&] {
    std::vector<NodeAddress> chosen;
    for (const auto& member : ChooseSubset(endpoints, origin)) {
      chosen.push_back(member.endpoint->node);
    }
    return chosen;
  };
  std::array<std::size_t, kProximityCount> counts = {};
  for (const auto& member : ChooseSubset(endpoints, origin)) {
    ++counts[static_cast<std::size_t>(member.proximity)];
  }
  BOOST_TEST(counts[0] == 12U);
  BOOST_TEST(counts[1] == 8U);
  BOOST_TEST(counts[2] == 4U);
  // Removing one endpoint replaces at most one member.
  const auto before = nodes();
  endpoints.erase(endpoints.begin() + 3);
  const auto after = nodes();
  const auto removed =
      std::count_if(before.begin(), before.end(), [&](NodeAddress node) {
        return std::find(after.begin(), after.end(), node) == after.end();
      });
  BOOST_TEST(removed <= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
