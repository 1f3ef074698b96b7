// An origin must end each visit exactly once, with the right cause, when the
// gate fails during a call or sends invalid frames.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>

#include "libraries/node/frame_messages.h"
#include "tests/node/raw_peer.h"
#include "tests/node/test_nodes.h"

namespace agaterun::node {

namespace {

// Expected end of a visit at the origin.
enum class End { kReply, kLostUnsent, kLostSent };

// Action of the gate after it received the greeting and the visits 1 and 2.
struct GateFault {
  const char* name;
  End first;
  End second;
  std::function<void(RawPeer& gate, const TestNode& origin)> act;
};

std::ostream& operator<<(std::ostream& stream, const GateFault& fault) {
  return stream << fault.name;
}

std::string ReplyBytes(const TestNode& origin,
                       decision::CallId call,
                       const std::string& body) {
  return SealedBytes(
      EncodeReply(ReplyTo(origin.Visit(call)), MakeResponse(body)));
}

const GateFault gate_faults[] = {
    {"no reply, closed", End::kLostSent, End::kLostSent,
     [](RawPeer&, const TestNode&) {}},
    {"first visit replied to, closed", End::kReply, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(ReplyBytes(origin, 1, "body 1"));
     }},
    {"replies in reverse order", End::kReply, End::kReply,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(ReplyBytes(origin, 2, "body 2") +
                 ReplyBytes(origin, 1, "body 1"));
     }},
    {"duplicate replies", End::kReply, End::kReply,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(
           ReplyBytes(origin, 1, "body 1") + ReplyBytes(origin, 1, "other") +
           ReplyBytes(origin, 2, "body 2") + ReplyBytes(origin, 1, "other"));
     }},
    {"reply to an unknown visit", End::kReply, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(ReplyBytes(origin, 99, "other") +
                 ReplyBytes(origin, 1, "body 1"));
     }},
    {"reply to an older incarnation", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       auto reply = ReplyTo(origin.Visit(1));
       reply.attempt.incarnation -= 1;
       gate.Send(SealedBytes(EncodeReply(reply, MakeResponse("other"))));
     }},
    {"reply to another attempt of the call", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       auto reply = ReplyTo(origin.Visit(1));
       reply.attempt.number += 1;
       gate.Send(SealedBytes(EncodeReply(reply, MakeResponse("other"))));
     }},
    {"reply truncated", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       const auto reply = ReplyBytes(origin, 1, std::string(5000, 'a'));
       gate.Send(reply.substr(0, 4000));
     }},
    {"reply with a corrupt byte", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       auto reply = ReplyBytes(origin, 1, std::string(5000, 'a'));
       reply[4000] = 'b';
       gate.Send(reply);
     }},
    {"response with an invalid status", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       auto response = std::make_shared<HttpResponse>();
       response->status = -1;
       gate.Send(SealedBytes(EncodeReply(ReplyTo(origin.Visit(1)), response)));
     }},
    {"outcome out of range", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       auto reply = ReplyTo(origin.Visit(1));
       reply.outcome = static_cast<decision::Outcome>(3);
       gate.Send(SealedBytes(EncodeReply(reply, nullptr)));
     }},
    {"garbage after a reply", End::kReply, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(ReplyBytes(origin, 1, "body 1") + std::string(100, '?') +
                 ReplyBytes(origin, 2, "body 2"));
     }},
    {"closing with a payload", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode&) {
       gate.Send(MakeFrame(FrameKind::kClosing, "x"));
     }},
    {"a visit in place of a reply", End::kLostSent, End::kLostSent,
     [](RawPeer& gate, const TestNode& origin) {
       gate.Send(SealedBytes(EncodeVisit(origin.Visit(1), {})));
     }},
};

void CheckEnd(const ReceivedEvents& events,
              decision::CallId call,
              End expected) {
  int replies = 0;
  int unsent = 0;
  int sent = 0;
  for (const auto& [reply, response] : events.replies) {
    if (reply.attempt.call == call) {
      ++replies;
      BOOST_TEST(response->body == "body " + std::to_string(call));
    }
  }
  for (const auto& lost : events.lost) {
    if (lost.attempt.call == call) {
      ++(lost.sent ? sent : unsent);
    }
  }
  BOOST_TEST(replies == (expected == End::kReply ? 1 : 0));
  BOOST_TEST(unsent == (expected == End::kLostUnsent ? 1 : 0));
  BOOST_TEST(sent == (expected == End::kLostSent ? 1 : 0));
}

bool HasEnded(const ReceivedEvents& events, std::size_t visits) {
  return events.replies.size() + events.lost.size() >= visits;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostileGateTest)

BOOST_DATA_TEST_CASE(EachVisitEndsExactlyOnceWithItsCause,
                     boost::unit_test::data::make(gate_faults),
                     fault) {
  IoThreads threads;
  TestNode origin(threads.io);
  RawGate listener;
  origin.links->SendVisit(listener.Address(), origin.Visit(1), {});
  origin.links->SendVisit(listener.Address(), origin.Visit(2), {});
  {
    RawPeer gate(listener.Accept());
    for (int frame = 0; frame < 3; ++frame) {
      BOOST_REQUIRE(!gate.ReceiveFrame().empty());
    }
    fault.act(gate, origin);
  }
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 2); }));
  BOOST_TEST(Eventually([&] { return origin.links->ConnectionCount() == 0; }));
  const auto events = origin.observer.Snapshot();
  CheckEnd(events, 1, fault.first);
  CheckEnd(events, 2, fault.second);
}

BOOST_AUTO_TEST_CASE(ReplyFromAnotherGateIsDropped) {
  IoThreads threads;
  TestNode origin(threads.io);
  RawGate first_listener;
  RawGate second_listener;
  origin.links->SendVisit(first_listener.Address(), origin.Visit(1), {});
  origin.links->SendVisit(second_listener.Address(), origin.Visit(2), {});
  RawPeer first_gate(first_listener.Accept());
  RawPeer second_gate(second_listener.Accept());
  second_gate.Send(ReplyBytes(origin, 1, "swapped"));
  BOOST_REQUIRE(Eventually(
      [&] { return origin.links->Counters().replies_dropped == 1; }));
  first_gate.Send(ReplyBytes(origin, 1, "body 1"));
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  CheckEnd(origin.observer.Snapshot(), 1, End::kReply);
}

BOOST_AUTO_TEST_CASE(ReplyAfterReconnectIsDropped) {
  IoThreads threads;
  TestNode origin(threads.io);
  RawGate listener;
  origin.links->SendVisit(listener.Address(), origin.Visit(1), {});
  {
    RawPeer gate(listener.Accept());
    BOOST_REQUIRE(!gate.ReceiveFrame().empty());
    BOOST_REQUIRE(!gate.ReceiveFrame().empty());
  }
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  origin.links->SendVisit(listener.Address(), origin.Visit(2), {});
  RawPeer gate(listener.Accept());
  gate.Send(ReplyBytes(origin, 1, "late") + ReplyBytes(origin, 2, "body 2"));
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 2); }));
  const auto events = origin.observer.Snapshot();
  CheckEnd(events, 1, End::kLostSent);
  CheckEnd(events, 2, End::kReply);
  BOOST_TEST(origin.links->Counters().replies_dropped == 1U);
}

BOOST_AUTO_TEST_CASE(RefusedConnectReportsVisitAsNotSent) {
  IoThreads threads;
  TestNode origin(threads.io);
  origin.links->SendVisit(FreeAddress(), origin.Visit(1), {});
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  CheckEnd(origin.observer.Snapshot(), 1, End::kLostUnsent);
}

BOOST_AUTO_TEST_CASE(ConnectTimeoutReportsVisitAsNotSent) {
  IoThreads threads;
  TestNode origin(threads.io, {.connect_timeout = 50ms});
  // The accept queue holds one connection; the kernel drops further connects.
  RawGate listener(0);
  const RawPeer filler(FreeAddress(), listener.Address());
  origin.links->SendVisit(listener.Address(), origin.Visit(1), {});
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  CheckEnd(origin.observer.Snapshot(), 1, End::kLostUnsent);
}

BOOST_AUTO_TEST_CASE(CloseReportsVisitWithoutReplyAsSent) {
  IoThreads threads;
  TestNode origin(threads.io, {.connect_timeout = 400ms});
  RawGate listener;
  origin.links->SendVisit(listener.Address(), origin.Visit(1), {});
  RawPeer gate(listener.Accept());
  BOOST_REQUIRE(!gate.ReceiveFrame().empty());
  BOOST_REQUIRE(!gate.ReceiveFrame().empty());
  BOOST_TEST(origin.observer.Snapshot().lost.empty());
  origin.links->Close();
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  CheckEnd(origin.observer.Snapshot(), 1, End::kLostSent);
}

BOOST_AUTO_TEST_CASE(SendQueueToPeerThatDoesNotReadIsBounded) {
  constexpr int kVisits = 40;
  IoThreads threads;
  TestNode origin(threads.io, {.max_unsent_bytes = 2 * 1024 * 1024});
  RawGate listener;
  for (int call = 1; call <= kVisits; ++call) {
    origin.links->SendVisit(listener.Address(), origin.Visit(call),
                            {.body = std::string(1024 * 1024, 'x')});
  }
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return !events.lost.empty(); }));
  for (const auto& lost : origin.observer.Snapshot().lost) {
    BOOST_TEST(!lost.sent);
  }
  { const RawPeer gate(listener.Accept()); }
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, kVisits); }));
  BOOST_TEST(origin.observer.Snapshot().lost.size() ==
             static_cast<std::size_t>(kVisits));
}

BOOST_AUTO_TEST_CASE(VisitOverFrameLimitIsNotSent) {
  IoThreads threads;
  TestNode origin(threads.io, {.max_frame_bytes = 1000});
  RawGate listener;
  origin.links->SendVisit(listener.Address(), origin.Visit(1),
                          {.body = std::string(2000, 'x')});
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  CheckEnd(origin.observer.Snapshot(), 1, End::kLostUnsent);
}

BOOST_AUTO_TEST_CASE(ResponseOverFrameLimitBecomesUnknown) {
  IoThreads threads;
  TestNode origin(threads.io);
  TestNode gate(threads.io, {.max_frame_bytes = 1000});
  origin.links->SendVisit(gate.options.self, origin.Visit(1), {});
  BOOST_REQUIRE(gate.observer.WaitFor(
      [](const ReceivedEvents& events) { return events.visits.size() == 1; }));
  gate.links->SendReply(origin.options.self, ReplyTo(origin.Visit(1)),
                        MakeResponse(std::string(2000, 'x')));
  BOOST_REQUIRE(origin.observer.WaitFor(
      [](const ReceivedEvents& events) { return HasEnded(events, 1); }));
  const auto reply = origin.observer.Snapshot().replies.front();
  BOOST_TEST((reply.reply.outcome == decision::Outcome::kUnknown));
  BOOST_TEST((reply.response == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
