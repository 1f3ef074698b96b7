// Invalid bytes on the node port must close only the connection that they came
// on, and leave other connections and their calls intact.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <ostream>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/node/frame_messages.h"
#include "tests/node/raw_peer.h"
#include "tests/node/test_nodes.h"

namespace agaterun::node {

namespace {

constexpr std::uint64_t kIncarnation = 42;

// The valid visit from which most faults are derived.
decision::VisitRequest ValidVisit(NodeAddress from) {
  decision::VisitRequest visit;
  visit.attempt = {.origin = from, .incarnation = kIncarnation, .call = 1};
  visit.service = "drafts";
  visit.remaining = 1s;
  return visit;
}

std::string VisitBytes(const decision::VisitRequest& visit) {
  return SealedBytes(EncodeVisit(visit, {.method = "GET", .target = "/"}));
}

std::string WithByte(std::string bytes, std::size_t offset, char value) {
  bytes[offset] = value;
  return bytes;
}

std::string PayloadOf(const std::string& frame) {
  return frame.substr(FrameHeader::kBytes);
}

std::string Garbage(std::size_t size) {
  SeededRandom random(size);
  std::string bytes;
  while (bytes.size() < size) {
    bytes += static_cast<char>(random.Next());
  }
  return bytes;
}

struct Fault {
  const char* name;
  std::function<std::string(NodeAddress from)> bytes;
};

std::ostream& operator<<(std::ostream& stream, const Fault& fault) {
  return stream << fault.name;
}

const Fault faults[] = {
    {"garbage", [](NodeAddress) { return Garbage(300); }},
    {"zeros", [](NodeAddress) { return std::string(300, '\0'); }},
    {"HTTP",
     [](NodeAddress) {
       return std::string("GET / HTTP/1.1\r\nHost: somewhere.example\r\n\r\n");
     }},
    {"other version",
     [](NodeAddress from) {
       return WithChecksum(
           WithByte(VisitBytes(ValidVisit(from)), 3, kFrameVersion + 1));
     }},
    {"unknown kind",
     [](NodeAddress from) {
       return WithChecksum(WithByte(VisitBytes(ValidVisit(from)), 4, 99));
     }},
    {"reserved bytes set",
     [](NodeAddress from) {
       return WithChecksum(WithByte(VisitBytes(ValidVisit(from)), 6, 1));
     }},
    {"length over the limit",
     [](NodeAddress from) {
       return WithByte(VisitBytes(ValidVisit(from)), 11, '\x7f');
     }},
    {"payload bit flipped",
     [](NodeAddress from) {
       const auto bytes = VisitBytes(ValidVisit(from));
       return WithByte(bytes, 50, static_cast<char>(bytes[50] ^ 4));
     }},
    {"digest bit flipped",
     [](NodeAddress from) {
       return WithByte(VisitBytes(ValidVisit(from)), 17, 1);
     }},
    {"checksum zeroed",
     [](NodeAddress from) {
       return VisitBytes(ValidVisit(from)).replace(24, 8, 8, '\0');
     }},
    {"bytes after the message",
     [](NodeAddress from) {
       return MakeFrame(FrameKind::kVisit,
                        PayloadOf(VisitBytes(ValidVisit(from))) + "x");
     }},
    {"message truncated",
     [](NodeAddress from) {
       auto payload = PayloadOf(VisitBytes(ValidVisit(from)));
       payload.pop_back();
       return MakeFrame(FrameKind::kVisit, payload);
     }},
    {"empty message",
     [](NodeAddress) { return MakeFrame(FrameKind::kVisit, ""); }},
    {"size larger than the frame",
     [](NodeAddress) {
       return MakeFrame(FrameKind::kTicketItems, "\xff\xff\xff\xff");
     }},
    {"importance out of range",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.importance = static_cast<decision::Importance>(9);
       return VisitBytes(visit);
     }},
    {"account priority out of range",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.account_priority = decision::kAccountPriorityCount;
       return VisitBytes(visit);
     }},
    {"admission key out of range",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.admission_key = decision::kAdmissionKeys;
       return VisitBytes(visit);
     }},
    {"negative remaining time",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.remaining = -1ns;
       return VisitBytes(visit);
     }},
    {"remaining time over the maximum",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.remaining = Duration::max();
       return VisitBytes(visit);
     }},
    {"negative allowance",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.allowance = -1;
       return VisitBytes(visit);
     }},
    {"visit of another origin",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.attempt.origin.port += 1;
       return VisitBytes(visit);
     }},
    {"visit of another incarnation",
     [](NodeAddress from) {
       auto visit = ValidVisit(from);
       visit.attempt.incarnation += 1;
       return VisitBytes(visit);
     }},
    {"cancellation of another origin",
     [](NodeAddress from) {
       auto attempt = ValidVisit(from).attempt;
       attempt.origin.ip += 1;
       return SealedBytes(EncodeCancel(attempt));
     }},
    {"unexpected reply",
     [](NodeAddress from) {
       return SealedBytes(EncodeReply(ReplyTo(ValidVisit(from)), nullptr));
     }},
    {"unexpected closing",
     [](NodeAddress) { return SealedBytes(EncodeClosing()); }},
    {"unexpected heartbeat",
     [](NodeAddress from) {
       return SealedBytes(EncodeHeartbeat({.from = from}));
     }},
};

enum class Moment { kBeforeGreeting, kAfterGreeting, kInsideFrame, kAfterCall };

constexpr std::array kMomentNames = {
    EnumName<Moment>{Moment::kBeforeGreeting, "before the greeting"},
    EnumName<Moment>{Moment::kAfterGreeting, "after the greeting"},
    EnumName<Moment>{Moment::kInsideFrame, "inside a frame"},
    EnumName<Moment>{Moment::kAfterCall, "after a call"},
};

// A gate with a call in flight from a valid node, and the address of the node
// that sends the fault.
struct HostilePeerFixture {
  HostilePeerFixture() {
    this->valid_node.links->SendVisit(
        this->gate.options.self, this->valid_node.Visit(1), {.body = "kept"});
    BOOST_REQUIRE(this->gate.observer.WaitFor([](const ReceivedEvents& events) {
      return events.visits.size() == 1;
    }));
  }

  // Checks that the call of the valid node completes normally.
  void CheckValidCallCompletes() {
    const auto visit = this->valid_node.Visit(1);
    this->gate.links->SendReply(this->valid_node.options.self, ReplyTo(visit),
                                MakeResponse("unharmed"));
    BOOST_REQUIRE(
        this->valid_node.observer.WaitFor([](const ReceivedEvents& events) {
          return events.replies.size() == 1;
        }));
    BOOST_TEST(
        this->valid_node.observer.Snapshot().replies.front().response->body ==
        "unharmed");
    BOOST_TEST(this->valid_node.observer.Snapshot().lost.empty());
  }

  IoThreads threads;
  TestNode gate{threads.io};
  TestNode valid_node{threads.io};
  NodeAddress from = FreeAddress();
};

// Sends valid bytes up to `moment`. Returns how many visits the gate receives
// from them.
std::size_t SendUntil(Moment moment, RawPeer& peer, NodeAddress from) {
  if (moment == Moment::kBeforeGreeting) {
    return 0;
  }
  peer.Send(GreetingBytes(from, kIncarnation));
  const auto visit = VisitBytes(ValidVisit(from));
  if (moment == Moment::kInsideFrame) {
    peer.Send(visit.substr(0, visit.size() - 9));
  }
  if (moment == Moment::kAfterCall) {
    peer.Send(visit);
  }
  return moment == Moment::kAfterCall ? 1 : 0;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostilePeerTest)

BOOST_DATA_TEST_CASE(FaultClosesOnlyItsConnection,
                     boost::unit_test::data::make(faults),
                     fault) {
  HostilePeerFixture fixture;
  std::uint64_t rejected = 0;
  std::size_t visits = 1;
  for (const auto& [moment, name] : kMomentNames) {
    BOOST_TEST_CONTEXT(name) {
      RawPeer peer(fixture.from, fixture.gate.options.self);
      visits += SendUntil(moment, peer, fixture.from);
      peer.Send(fault.bytes(fixture.from));
      BOOST_TEST(peer.WaitForPeerClose());
      ++rejected;
      BOOST_TEST(Eventually([&] {
        return fixture.gate.links->Counters().frames_rejected == rejected;
      }));
      BOOST_TEST(fixture.gate.observer.Snapshot().visits.size() == visits);
    }
  }
  fixture.CheckValidCallCompletes();
}

BOOST_AUTO_TEST_CASE(ConnectionClosedInsideFrameIsRejected) {
  HostilePeerFixture fixture;
  for (const std::size_t cut : {1U, 31U, 32U, 33U}) {
    // Each connection comes from another address: a greeting from the same
    // address would close the previous connection.
    const auto from = FreeAddress();
    RawPeer peer(from, fixture.gate.options.self);
    peer.Send(GreetingBytes(from, kIncarnation) +
              VisitBytes(ValidVisit(from)).substr(0, cut));
    peer.Close();
  }
  BOOST_TEST(Eventually(
      [&] { return fixture.gate.links->Counters().frames_rejected == 4; }));
  BOOST_TEST(fixture.gate.observer.Snapshot().visits.size() == 1U);
  fixture.CheckValidCallCompletes();
}

// Failure: responses queued for peers that read nothing were bounded for each
// peer alone, so several of them took the gate over the memory of its machine,
// and past the bound the connection was closed, with all its visits.
BOOST_AUTO_TEST_CASE(ResponsesQueuedForAllPeersTogetherAreBounded) {
  constexpr std::size_t kMaxQueuedBytes = 8 * 1024 * 1024;
  constexpr std::size_t kResponseBytes = 1024 * 1024;
  constexpr int kPeers = 4;
  constexpr int kRepliesPerPeer = 40;
  IoThreads threads;
  TestNode gate(threads.io, {.max_unsent_response_bytes = kMaxQueuedBytes});
  std::vector<NodeAddress> addresses;
  std::vector<std::unique_ptr<RawPeer>> peers;
  for (int number = 0; number < kPeers; ++number) {
    addresses.push_back(FreeAddress());
    peers.push_back(
        std::make_unique<RawPeer>(addresses.back(), gate.options.self));
    peers.back()->Send(GreetingBytes(addresses.back(), kIncarnation));
  }
  BOOST_REQUIRE(
      Eventually([&] { return gate.links->ConnectionCount() == kPeers; }));
  // A connection is in use once its greeting has been handled.
  for (int number = 0; number < kPeers; ++number) {
    peers[number]->Send(VisitBytes(ValidVisit(addresses[number])));
  }
  BOOST_REQUIRE(gate.observer.WaitFor([](const ReceivedEvents& events) {
    return events.visits.size() == kPeers;
  }));
  for (int reply = 0; reply < kRepliesPerPeer; ++reply) {
    for (const auto& address : addresses) {
      gate.links->SendReply(address, ReplyTo(ValidVisit(address)),
                            MakeResponse(std::string(kResponseBytes, 'x')));
      BOOST_TEST_REQUIRE(gate.links->QueuedBytes() <=
                         kMaxQueuedBytes + kResponseBytes);
    }
  }
  BOOST_TEST(gate.links->ConnectionCount() == kPeers);
  // Each visit gets a reply: its response, or that the outcome is unknown.
  for (const auto& peer : peers) {
    int unknown = 0;
    for (int reply = 0; reply < kRepliesPerPeer; ++reply) {
      const auto frame = peer->ReceiveFrame();
      BOOST_TEST_REQUIRE(!frame.empty());
      const auto message = DecodeReply(PayloadOf(frame));
      BOOST_TEST_REQUIRE(message.has_value());
      const bool has_response = message->response != nullptr;
      unknown += has_response ? 0 : 1;
      BOOST_TEST((message->reply.outcome ==
                  (has_response ? decision::Outcome::kCompleted
                                : decision::Outcome::kUnknown)));
      BOOST_TEST(
          (!has_response || message->response->body.size() == kResponseBytes));
    }
    BOOST_TEST(unknown > 0);
  }
}

BOOST_AUTO_TEST_CASE(SecondGreetingIsRejected) {
  HostilePeerFixture fixture;
  RawPeer peer(fixture.from, fixture.gate.options.self);
  peer.Send(GreetingBytes(fixture.from, kIncarnation));
  peer.Send(GreetingBytes(fixture.from, kIncarnation + 1));
  BOOST_TEST(peer.WaitForPeerClose());
  BOOST_TEST(Eventually(
      [&] { return fixture.gate.links->Counters().frames_rejected == 1; }));
}

BOOST_AUTO_TEST_CASE(GreetingWithAnotherIpIsRefused) {
  HostilePeerFixture fixture;
  RawPeer peer(fixture.from, fixture.gate.options.self);
  auto other = fixture.from;
  other.ip += 1;
  peer.Send(GreetingBytes(other, kIncarnation));
  BOOST_TEST(peer.WaitForPeerClose());
  BOOST_TEST(Eventually(
      [&] { return fixture.gate.links->Counters().peers_refused == 1; }));
  fixture.CheckValidCallCompletes();
}

BOOST_AUTO_TEST_CASE(DisallowedPeerIsRefused) {
  HostilePeerFixture fixture;
  fixture.gate.links->SetAllowedPeers(
      [valid_node = fixture.valid_node.options.self](NodeAddress peer) {
        return peer == valid_node;
      });
  RawPeer peer(fixture.from, fixture.gate.options.self);
  peer.Send(GreetingBytes(fixture.from, kIncarnation) +
            VisitBytes(ValidVisit(fixture.from)));
  BOOST_TEST(peer.WaitForPeerClose());
  BOOST_TEST(Eventually(
      [&] { return fixture.gate.links->Counters().peers_refused == 1; }));
  BOOST_TEST(fixture.gate.observer.Snapshot().visits.size() == 1U);
  fixture.CheckValidCallCompletes();
}

BOOST_AUTO_TEST_CASE(ConnectionWithoutGreetingTimesOut) {
  IoThreads threads;
  const TestNode gate(threads.io, {.connect_timeout = 50ms});
  RawPeer peer(FreeAddress(), gate.options.self);
  BOOST_TEST(peer.WaitForPeerClose());
}

BOOST_AUTO_TEST_CASE(ConnectionsOverLimitAreRefused) {
  IoThreads threads;
  const TestNode gate(threads.io, {.connections = 2});
  const auto from = FreeAddress();
  RawPeer first(from, gate.options.self);
  RawPeer second(from, gate.options.self);
  BOOST_REQUIRE(Eventually([&] { return gate.links->ConnectionCount() == 2; }));
  RawPeer third(from, gate.options.self);
  BOOST_TEST(third.WaitForPeerClose());
  first.Close();
  BOOST_TEST(Eventually([&] { return gate.links->ConnectionCount() == 1; }));
  RawPeer fourth(from, gate.options.self);
  BOOST_TEST(Eventually([&] { return gate.links->ConnectionCount() == 2; }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
