#include "libraries/node/node_links.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "tests/node/test_nodes.h"

namespace agaterun::node {

BOOST_AUTO_TEST_SUITE(NodeLinksTest)

BOOST_AUTO_TEST_CASE(VisitAndReplyArriveWhole) {
  IoThreads threads;
  TestNode origin(threads.io);
  TestNode gate(threads.io);
  auto visit = origin.Visit(7);
  visit.route = "open";
  visit.binding = decision::Binding{
      .gate = gate.options.self, .incarnation = 3, .sequence = 9};
  const HttpRequest request{.method = "POST",
                            .target = "/drafts/1?x=y",
                            .headers = {{"A", "b"}, {"C", ""}},
                            .body = std::string(300'000, 'q')};
  origin.links->SendVisit(gate.options.self, visit, request);
  BOOST_REQUIRE(gate.observer.WaitFor(
      [](const Received& heard) { return heard.visits.size() == 1; }));

  const auto received = gate.observer.Snapshot().visits.front();
  BOOST_TEST((received.from == origin.options.self));
  BOOST_TEST((received.visit.attempt == visit.attempt));
  BOOST_TEST((received.visit.binding == visit.binding));
  BOOST_TEST(received.visit.remaining.count() <= visit.remaining.count());
  BOOST_TEST(received.request.body == request.body);
  BOOST_TEST(received.request.headers.size() == 2U);

  auto reply = ReplyTo(received.visit);
  reply.thresholds = {{"ledger", {decision::Importance::kHigh, 12}}};
  gate.links->SendReply(origin.options.self, reply, AnswerWith("whole"));
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const Received& heard) { return heard.replies.size() == 1; }));
  const auto heard = origin.observer.Snapshot();
  BOOST_TEST(heard.replies.front().answer->body == "whole");
  BOOST_TEST((heard.replies.front().reply.thresholds == reply.thresholds));
  BOOST_TEST(heard.lost.empty());
}

BOOST_AUTO_TEST_CASE(ManyCallsInFlightAreMatchedWhenAnsweredBackwards) {
  constexpr int kCalls = 500;
  IoThreads threads;
  TestNode origin(threads.io);
  TestNode gate(threads.io);
  for (int call = 1; call <= kCalls; ++call) {
    origin.links->SendVisit(gate.options.self, origin.Visit(call),
                            {.target = std::to_string(call)});
  }
  BOOST_REQUIRE(gate.observer.WaitFor(
      [](const Received& heard) { return heard.visits.size() == kCalls; }));
  auto visits = gate.observer.Snapshot().visits;
  std::reverse(visits.begin(), visits.end());
  for (const auto& received : visits) {
    gate.links->SendReply(received.from, ReplyTo(received.visit),
                          AnswerWith(received.request.target));
  }
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const Received& heard) { return heard.replies.size() == kCalls; }));
  std::set<decision::CallId> calls;
  for (const auto& [reply, answer] : origin.observer.Snapshot().replies) {
    BOOST_TEST(answer->body == std::to_string(reply.attempt.call));
    calls.insert(reply.attempt.call);
  }
  BOOST_TEST(calls.size() == static_cast<std::size_t>(kCalls));
  BOOST_TEST(origin.links->ConnectionCount() == 1U);
}

BOOST_AUTO_TEST_CASE(CancellationHeartbeatAndTicketItemsArrive) {
  IoThreads threads;
  TestNode left(threads.io);
  TestNode right(threads.io);
  left.links->SetStateDigest(77);
  left.links->CancelVisit(right.options.self, left.Visit(3).attempt);
  left.links->SendTicketItems(right.options.self, {{"service a", 4, "text"}});
  left.links->RequestTicketItems(
      right.options.self, {{.name = "service b", .number = 5, .text_hash = 6}});
  left.links->SendHeartbeat(right.options.self, {.from = left.options.self,
                                                 .state_digest = 77,
                                                 .quarantined = {{1, 5s}}});
  BOOST_REQUIRE(right.observer.WaitFor([](const Received& heard) {
    return heard.cancelled.size() == 1 && heard.items.size() == 1 &&
           heard.wanted.size() == 1 && heard.heartbeats.size() == 1;
  }));
  const auto heard = right.observer.Snapshot();
  BOOST_TEST(heard.cancelled.front().call == 3U);
  BOOST_TEST(heard.items.front().text == "text");
  BOOST_TEST(heard.wanted.front().text_hash == 6U);
  BOOST_TEST(heard.heartbeats.front().quarantined.size() == 1U);
  BOOST_REQUIRE(heard.digests.size() == 1U);
  BOOST_TEST(heard.digests.front().second == 77U);
}

BOOST_AUTO_TEST_CASE(TicketItemsLargerThanAFrameGoInSeveral) {
  IoThreads threads;
  TestNode left(threads.io);
  TestNode right(threads.io);
  std::vector<decision::TicketItemText> items;
  for (int number = 0; number < 9; ++number) {
    items.push_back(
        {"service " + std::to_string(number), 1, std::string(1'000'000, 't')});
  }
  left.links->SendTicketItems(right.options.self, items);
  BOOST_TEST(right.observer.WaitFor([&](const Received& heard) {
    return heard.items.size() == items.size();
  }));
}

BOOST_AUTO_TEST_CASE(NoTicketItemsAreAnAnswerToo) {
  IoThreads threads;
  TestNode left(threads.io);
  TestNode right(threads.io);
  left.links->SendTicketItems(right.options.self, {});
  BOOST_TEST(right.observer.WaitFor(
      [](const Received& heard) { return heard.item_messages == 1; }));
}

BOOST_AUTO_TEST_CASE(HeartbeatKeepsToOneDatagram) {
  IoThreads threads;
  TestNode left(threads.io);
  TestNode right(threads.io);
  decision::Heartbeat heartbeat{.from = left.options.self};
  for (std::uint64_t fingerprint = 0; fingerprint < 1000; ++fingerprint) {
    heartbeat.quarantined.emplace_back(fingerprint, 1s);
  }
  left.links->SendHeartbeat(right.options.self, heartbeat);
  BOOST_REQUIRE(right.observer.WaitFor(
      [](const Received& heard) { return !heard.heartbeats.empty(); }));
  BOOST_TEST(right.links->Counters().bytes_received <= 1400U);
}

BOOST_AUTO_TEST_CASE(AHeartbeatOfABusyNodeGetsThrough) {
  IoThreads threads;
  TestNode left(threads.io);
  TestNode right(threads.io);
  decision::Heartbeat heartbeat{.from = left.options.self};
  for (int number = 0; number < 60; ++number) {
    heartbeat.demand.push_back({.route = "route-" + std::to_string(number)});
    heartbeat.crashes.push_back(
        {.id = 1, .fingerprints = std::vector<std::uint64_t>(128)});
  }
  left.links->SendHeartbeat(right.options.self, heartbeat);
  BOOST_REQUIRE(right.observer.WaitFor(
      [](const Received& heard) { return !heard.heartbeats.empty(); }));
  BOOST_TEST(right.links->Counters().bytes_received <= 1400U);
}

BOOST_AUTO_TEST_CASE(CloseWritesWhatIsQueued) {
  IoThreads threads;
  TestNode origin(threads.io);
  TestNode gate(threads.io);
  origin.links->SendVisit(gate.options.self, origin.Visit(1), {});
  BOOST_REQUIRE(gate.observer.WaitFor(
      [](const Received& heard) { return heard.visits.size() == 1; }));
  const std::string body(3'000'000, 'z');
  gate.links->SendReply(origin.options.self, ReplyTo(origin.Visit(1)),
                        AnswerWith(body));
  gate.links->Close();
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const Received& heard) { return heard.replies.size() == 1; }));
  BOOST_TEST((origin.observer.Snapshot().replies.front().answer->body == body));
  BOOST_TEST(Eventually([&] {
    return gate.links->ConnectionCount() == 0 &&
           origin.links->ConnectionCount() == 0;
  }));
}

// During a planned stop, each visit must be replied to or reported as not sent;
// otherwise its origin could not tell whether it ran.
BOOST_AUTO_TEST_CASE(VisitsThatMeetAStopAreStillAnswered) {
  constexpr int kVisits = 200;
  IoThreads threads;
  TestNode origin(threads.io);
  TestNode gate(threads.io);
  for (int call = 1; call <= kVisits; ++call) {
    origin.links->SendVisit(gate.options.self, origin.Visit(call), {});
    if (call == 20) {
      BOOST_REQUIRE(gate.observer.WaitFor(
          [](const Received& heard) { return !heard.visits.empty(); }));
      gate.links->Close();
    }
  }
  // Visits that the gate received get a reply; the others were not sent.
  std::size_t answered = 0;
  BOOST_REQUIRE(Eventually([&] {
    const auto visits = gate.observer.Snapshot().visits;
    for (; answered < visits.size(); ++answered) {
      gate.links->SendReply(origin.options.self,
                            ReplyTo(visits[answered].visit), AnswerWith("x"));
    }
    const auto heard = origin.observer.Snapshot();
    return heard.replies.size() + heard.lost.size() == kVisits;
  }));
  const auto heard = origin.observer.Snapshot();
  BOOST_TEST(heard.replies.size() == answered);
  for (const auto& lost : heard.lost) {
    BOOST_TEST(!lost.sent);
  }
  BOOST_TEST(Eventually([&] {
    return gate.links->ConnectionCount() == 0 &&
           origin.links->ConnectionCount() == 0;
  }));
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedByItsOpener) {
  IoThreads threads;
  TestNode origin(threads.io, {.idle_timeout = 50ms});
  TestNode gate(threads.io);
  origin.links->SendVisit(gate.options.self, origin.Visit(1), {});
  BOOST_REQUIRE(gate.observer.WaitFor(
      [](const Received& heard) { return heard.visits.size() == 1; }));
  // The connection must stay open while a visit is in flight, even when idle.
  std::this_thread::sleep_for(350ms);
  BOOST_TEST(origin.links->ConnectionCount() == 1U);
  gate.links->SendReply(origin.options.self, ReplyTo(origin.Visit(1)), nullptr);
  BOOST_TEST(Eventually([&] {
    return origin.links->ConnectionCount() == 0 &&
           gate.links->ConnectionCount() == 0;
  }));
  BOOST_TEST(origin.observer.Snapshot().replies.size() == 1U);
  BOOST_TEST(origin.observer.Snapshot().lost.empty());
}

BOOST_AUTO_TEST_CASE(AddressInUseIsAnErrorWithARemedy) {
  IoThreads threads;
  const TestNode first(threads.io);
  RecordingObserver observer;
  const auto second =
      NodeLinks::Create(threads.io, {.self = first.options.self}, observer);
  BOOST_REQUIRE(!second);
  BOOST_TEST(second.error().message.find("free the port") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
