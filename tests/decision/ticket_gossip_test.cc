#include "libraries/decision/ticket_gossip.h"

#include <boost/test/unit_test.hpp>

#include "tests/decision/gossip_network.h"

namespace agaterun::decision {

namespace {

constexpr Duration kMaxPropagationTime = 3s;
// Maximum calls to the platform in one second: those of six candidates in each
// of three domains, and those that every other node may send. 320 at 710 nodes,
// below a fifth of what the platform can serve.
int CallBound(int nodes) {
  return 6 * 3 * 2 + nodes * 2 / 5;
}

int CountReaders(const GossipNetwork& network) {
  return network.Count([](const GossipNetwork::Member& member) {
    const auto role = member.node->Gossip().Role();
    return role == ReaderRole::kPoller || role == ReaderRole::kWatcher;
  });
}

int MaxCalls(const GossipNetwork& network, Instant from) {
  int max_calls = 0;
  for (const auto& [second, calls] : network.platform.calls) {
    max_calls = second * 1s >= from ? std::max(max_calls, calls) : max_calls;
  }
  return max_calls;
}

void CheckNumbersNeverDecreased(const GossipNetwork& network) {
  BOOST_TEST(network.Count([](const GossipNetwork::Member& member) {
    return member.number_decreased;
  }) == 0);
}

int CountReports(const GossipNetwork::Member& member, LogEvent event) {
  return static_cast<int>(std::count_if(
      member.reports.begin(), member.reports.end(),
      [&](const Report& report) { return report.event == event; }));
}

// Returns a fleet in which all nodes serve with ticket 1.
GossipNetwork StartedNetwork(GossipNetwork::Options options) {
  GossipNetwork network(options);
  network.Publish(network.TicketText(1));
  network.StartAll();
  BOOST_TEST((network.RunUntilInForce(1, 20s) < 5s));
  network.RunFor(2s);
  return network;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TicketGossipTest)

BOOST_AUTO_TEST_CASE(TwoReadersPerDomainUpdateAllNodes) {
  auto network = StartedNetwork({.nodes = 24});
  BOOST_TEST(CountReaders(network) == 6);
  const auto start = network.now;
  for (std::uint64_t number = 2; number < 5; ++number) {
    network.Publish(network.TicketText(number));
    BOOST_TEST((network.RunUntilInForce(number, 10s) < kMaxPropagationTime));
    network.RunFor(700ms);
  }
  // One poll and one watch in each domain, two calls each.
  BOOST_TEST(MaxCalls(network, start) <= 6 * 2 * 2);
  CheckNumbersNeverDecreased(network);
}

BOOST_AUTO_TEST_CASE(HeartbeatLossKeepsPropagationTimeBounded) {
  auto network = StartedNetwork({.nodes = 24, .loss = 0.1});
  for (std::uint64_t number = 2; number < 5; ++number) {
    network.Publish(network.TicketText(number));
    BOOST_TEST((network.RunUntilInForce(number, 10s) < kMaxPropagationTime));
  }
}

BOOST_AUTO_TEST_CASE(UnresponsiveReadersAreReplacedWithin1500Ms) {
  auto network = StartedNetwork({.nodes = 24});
  for (int index = 0; index < 24; ++index) {
    const auto role = network.At(index).node->Gossip().Role();
    if (role == ReaderRole::kPoller || role == ReaderRole::kWatcher) {
      network.Stop(index);
    }
  }
  BOOST_TEST(CountReaders(network) == 0);
  network.RunFor(1500ms);
  BOOST_TEST(CountReaders(network) == 6);
  network.Publish(network.TicketText(2));
  BOOST_TEST((network.RunUntilInForce(2, 10s) < kMaxPropagationTime));
}

BOOST_AUTO_TEST_CASE(OtherNodesReadWhenAllCandidatesAreStopped) {
  auto network = StartedNetwork({.nodes = 24, .domains = 1});
  for (int index = 0; index < 24; ++index) {
    if (network.At(index).node->Gossip().Role() != ReaderRole::kNone) {
      network.Stop(index);
    }
  }
  network.Publish(network.TicketText(2));
  BOOST_TEST((network.RunUntilInForce(2, 20s) < 12s));
  BOOST_TEST(MaxCalls(network, network.now - 20s) <= CallBound(24));
}

BOOST_AUTO_TEST_CASE(TicketAtOneReaderReachesAllNodesDuringPlatformOutage) {
  auto network = StartedNetwork({.nodes = 24});
  bool is_up = true;
  network.reaches_platform = [&](int) { return is_up; };
  network.Publish(network.TicketText(2));
  while (network.CountNodesBehind(2) == 24) {
    network.RunFor(1ms);
  }
  is_up = false;
  BOOST_TEST((network.RunUntilInForce(2, 10s) < kMaxPropagationTime));
  network.RunFor(10s);
  BOOST_TEST(network.CountNodesBehind(2) == 0);
  CheckNumbersNeverDecreased(network);
}

BOOST_AUTO_TEST_CASE(ReadsStayBoundedDuringAndAfterPlatformOutage) {
  auto network = StartedNetwork({.nodes = 36});
  bool is_up = false;
  network.reaches_platform = [&](int) { return is_up; };
  const auto start = network.now;
  network.RunFor(15s);
  is_up = true;
  network.Publish(network.TicketText(2));
  BOOST_TEST((network.RunUntilInForce(2, 20s) < 6s));
  network.RunFor(3s);
  BOOST_TEST(MaxCalls(network, start) <= CallBound(36));
  BOOST_TEST(CountReaders(network) == 6);
}

BOOST_AUTO_TEST_CASE(DomainRestartKeepsReadsBounded) {
  auto network = StartedNetwork({.nodes = 48});
  network.Publish(network.TicketText(2));
  network.RunFor(3s);
  // From now on the platform lags: it returns only ticket 1.
  network.platform.shown = 1;
  const auto start = network.now;
  for (int index = 0; index < 48; index += 3) {
    network.Start(index);
  }
  BOOST_TEST((network.RunUntilInForce(2, 10s) < kMaxPropagationTime));
  BOOST_TEST(MaxCalls(network, start) <= CallBound(48));
  network.RunFor(3s);
  BOOST_TEST(network.CountNodesBehind(2) == 0);
  CheckNumbersNeverDecreased(network);
}

BOOST_AUTO_TEST_CASE(StalePlatformDoesNotRollBackRestartedNodes) {
  auto network = StartedNetwork({.nodes = 12});
  network.Publish(network.TicketText(2));
  network.RunFor(3s);
  network.platform.shown = 1;
  int stale_publications = 0;
  network.on_action = [&](int, const Action& action) {
    const auto* publish = std::get_if<PublishState>(&action);
    stale_publications +=
        publish != nullptr && publish->state->items.begin()->second.number < 2;
  };
  // Node 6 restarts together with all of its seeds.
  for (int index = 0; index < 7; ++index) {
    network.Start(index);
  }
  network.RunFor(10s);
  BOOST_TEST(stale_publications == 0);
  BOOST_TEST(network.CountNodesBehind(2) == 0);
}

// A node whose seeds are down, and that no other node has in its tickets, must
// query the nodes that the platform's ticket lists before it serves.
BOOST_AUTO_TEST_CASE(StalePlatformDoesNotRollBackNewNodeWithoutSeeds) {
  GossipNetwork network({.nodes = 13, .seeds = 2});
  const auto without_last = [&](std::uint64_t number) {
    auto text = network.TicketText(number);
    const auto line = text.find("endpoint.e12 ");
    return text.erase(line, text.find('\n', line) + 1 - line);
  };
  network.Publish(without_last(1));
  for (int index = 0; index < 12; ++index) {
    network.Start(index);
  }
  network.RunFor(5s);
  network.Publish(without_last(2));
  network.RunFor(3s);
  network.platform.shown = 1;
  int stale_publications = 0;
  network.on_action = [&](int, const Action& action) {
    const auto* publish = std::get_if<PublishState>(&action);
    stale_publications +=
        publish != nullptr && publish->state->items.begin()->second.number < 2;
  };
  network.Stop(0);
  network.Stop(1);
  network.Start(12);
  network.RunFor(10s);
  BOOST_TEST(stale_publications == 0);
  BOOST_TEST(network.CountNodesBehind(2) == 0);
}

BOOST_AUTO_TEST_CASE(LoneNodeServesFromPlatformAfterSeedTimeout) {
  GossipNetwork network({.nodes = 6});
  network.Publish(network.TicketText(1));
  network.Start(5);
  network.RunFor(500ms);
  BOOST_TEST(network.CountNodesBehind(1) == 1);
  BOOST_TEST((network.RunUntilInForce(1, 10s) < 2s));
}

BOOST_AUTO_TEST_CASE(LoneNodeReportsWaitReasonWhilePlatformIsUnreachable) {
  GossipNetwork network({.nodes = 6});
  network.reaches_platform = [](int) { return false; };
  network.Start(5);
  network.RunFor(60s);
  BOOST_TEST(network.CountNodesBehind(1) == 1);
  // Reported once for the seeds, and once for the seeds and the platform.
  BOOST_TEST(CountReports(network.At(5), LogEvent::kWaitingForState) == 2);
  network.reaches_platform = [](int) { return true; };
  network.RunFor(10s);
  BOOST_TEST(CountReports(network.At(5), LogEvent::kWaitingForState) == 3);
  network.Publish(network.TicketText(1));
  BOOST_TEST((network.RunUntilInForce(1, 20s) < 10s));
}

BOOST_AUTO_TEST_CASE(PartitionedDomainsServeAndMergeAfterHealing) {
  auto network = StartedNetwork({.nodes = 24});
  network.connected = [&](int from, int to) {
    return (network.Domain(from) == 0) == (network.Domain(to) == 0);
  };
  // Only the partitioned domain reaches the platform.
  network.reaches_platform = [&](int index) {
    return network.Domain(index) == 0;
  };
  network.Publish(network.TicketText(2));
  network.RunFor(3s);
  BOOST_TEST(network.CountNodesBehind(1) == 0);
  BOOST_TEST(network.CountNodesBehind(2) == 16);
  network.RunFor(10s);
  network.connected = [](int, int) { return true; };
  BOOST_TEST((network.RunUntilInForce(2, 10s) < kMaxPropagationTime));
  CheckNumbersNeverDecreased(network);
}

BOOST_AUTO_TEST_CASE(OneWayPartitionDoesNotDelayTickets) {
  auto network = StartedNetwork({.nodes = 24});
  network.connected = [&](int from, int to) {
    return network.Domain(from) != 1 || network.Domain(to) != 0;
  };
  network.reaches_platform = [&](int index) {
    return network.Domain(index) == 1;
  };
  network.Publish(network.TicketText(2));
  BOOST_TEST((network.RunUntilInForce(2, 10s) < kMaxPropagationTime));
}

BOOST_AUTO_TEST_CASE(ResumedNodeDoesNotServeStaleState) {
  auto network = StartedNetwork({.nodes = 12});
  auto& frozen = network.At(7);
  frozen.frozen_until = network.now + 60s;
  network.RunFor(20s);
  network.Publish(network.TicketText(2));
  bool served_stale_state = false;
  network.on_action = [&](int index, const Action& action) {
    const auto* response = std::get_if<RespondToCaller>(&action);
    served_stale_state =
        served_stale_state || (index == 7 && response != nullptr &&
                               response->reason != Reason::kWaitingForState);
  };
  network.RunUntil(frozen.frozen_until - 1ms);
  // The first event after the freeze is a call.
  network.Schedule(frozen.frozen_until, [&] {
    network.Deliver(7, CallArrived{.call = 1, .service = "s0"});
  });
  network.RunFor(1ms);
  BOOST_TEST(!served_stale_state);
  for (const auto& [address, peer] : frozen.node->Peers().All()) {
    BOOST_TEST((peer.load_reported_at == Instant{}));
  }
  BOOST_TEST((network.RunUntilInForce(2, 10s) < 1s));
}

BOOST_AUTO_TEST_CASE(OutOfOrderTicketNumbersAllComeIntoForce) {
  auto network = StartedNetwork({.nodes = 12, .services = 2});
  const auto service_of = [&](int service, std::uint64_t number) {
    auto text = network.TicketText(number, static_cast<int>(number));
    const auto second = text.find("[route s1");
    const auto head = text.find("[route s0");
    return service == 0 ? text.substr(0, second)
                        : text.substr(0, head) + text.substr(second);
  };
  network.Publish(service_of(0, 5));
  network.RunFor(2s);
  network.Publish(service_of(1, 4));
  network.RunFor(3s);
  BOOST_TEST(network.Count([](const GossipNetwork::Member& member) {
    const auto& state = *member.node->State();
    return state.FindService("s0")->slots == 5 &&
           state.FindService("s1")->slots == 4;
  }) == 12);
}

BOOST_AUTO_TEST_CASE(ConflictingTextsConvergeAndAreReported) {
  auto network = StartedNetwork({.nodes = 24});
  network.connected = [&](int from, int to) {
    return network.Domain(from) == network.Domain(to);
  };
  network.reaches_platform = [&](int index) {
    return network.Domain(index) == 0;
  };
  network.Publish(network.TicketText(2, 10));
  network.RunFor(2s);
  network.platform.tickets.back() = network.TicketText(2, 20);
  network.reaches_platform = [&](int index) {
    return network.Domain(index) == 1;
  };
  network.RunFor(8s);
  network.connected = [](int, int) { return true; };
  network.RunFor(3s);
  const auto digest = network.At(0).node->State()->digest;
  BOOST_TEST(network.Count([&](const GossipNetwork::Member& member) {
    return member.node->State()->digest == digest;
  }) == 24);
  BOOST_TEST(network.Count([](const GossipNetwork::Member& member) {
    return CountReports(member, LogEvent::kTicketConflict) > 0;
  }) > 0);
}

BOOST_AUTO_TEST_CASE(PlannedStopReachesAllNodesWithinTwoSeconds) {
  auto network = StartedNetwork({.nodes = 24, .loss = 0.01});
  const auto address = network.At(8).address;
  network.Deliver(8, StopRequested{});
  network.RunFor(2s);
  BOOST_TEST(network.Count([&](const GossipNetwork::Member& member) {
    const auto* peer = member.node->Peers().Find(address);
    return peer == nullptr || !peer->load.leaving;
  }) <= 3);
}

BOOST_AUTO_TEST_CASE(HostListStopsListedHostButNotItsSuccessor) {
  auto network = StartedNetwork({.nodes = 12});
  network.platform.hosts = {{.node = network.At(8).address}};
  network.RunFor(3s);
  network.platform.hosts[0].leaving = true;
  network.RunFor(3s);
  BOOST_TEST(network.At(8).node->IsStopping());
  // The list still marks the host as leaving when the next process starts
  // there.
  network.Start(8);
  network.RunFor(70s);
  // Readers that start now must not treat that entry as a change.
  for (const int index : {0, 1, 2, 3, 4, 5, 6, 7, 9, 10, 11}) {
    network.Start(index);
    network.RunFor(500ms);
  }
  network.RunFor(5s);
  BOOST_TEST(!network.At(8).node->IsStopping());
  BOOST_TEST(network.CountNodesBehind(1) == 0);
}

BOOST_AUTO_TEST_CASE(LateHeartbeatOfOldIncarnationIsIgnored) {
  auto network = StartedNetwork({.nodes = 12});
  const auto address = network.At(8).address;
  const Heartbeat late{
      .from = address, .incarnation = 1, .load = {.running = 9}};
  network.Start(8);
  network.RunFor(2s);
  const auto* peer = network.At(5).node->Peers().Find(address);
  BOOST_REQUIRE(peer != nullptr);
  BOOST_TEST(peer->incarnation == 2U);
  // A late datagram of the previous process changes nothing.
  network.Deliver(5, HeartbeatReceived{late});
  BOOST_TEST(peer->incarnation == 2U);
  BOOST_TEST(peer->load.running == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
