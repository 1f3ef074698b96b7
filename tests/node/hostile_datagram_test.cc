// Invalid datagrams, and heartbeats that name a sender other than their source
// address, must be rejected without effect on later heartbeats.
#include <asio/buffer.hpp>
#include <asio/ip/udp.hpp>
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

using asio::ip::udp;

struct DatagramFault {
  const char* name;
  std::function<std::string(NodeAddress from)> bytes;
};

std::ostream& operator<<(std::ostream& stream, const DatagramFault& fault) {
  return stream << fault.name;
}

std::string HeartbeatBytes(NodeAddress from) {
  return SealedBytes(EncodeHeartbeat({.from = from, .quarantined = {{7, 1s}}}));
}

const DatagramFault datagram_faults[] = {
    {"empty", [](NodeAddress) { return std::string(); }},
    {"garbage", [](NodeAddress) { return std::string(500, '%'); }},
    {"shorter than a header",
     [](NodeAddress from) { return HeartbeatBytes(from).substr(0, 31); }},
    {"cut",
     [](NodeAddress from) {
       auto bytes = HeartbeatBytes(from);
       bytes.pop_back();
       return bytes;
     }},
    {"longer than its frame",
     [](NodeAddress from) { return HeartbeatBytes(from) + "x"; }},
    {"longer than the datagram limit",
     [](NodeAddress from) {
       decision::Heartbeat heartbeat{.from = from};
       heartbeat.quarantined.resize(200, {~std::uint64_t{0}, 1s});
       return SealedBytes(EncodeHeartbeat(heartbeat));
     }},
    {"bit flipped",
     [](NodeAddress from) {
       auto bytes = HeartbeatBytes(from);
       bytes.back() = static_cast<char>(bytes.back() ^ 1);
       return bytes;
     }},
    {"other kind", [](NodeAddress from) { return GreetingBytes(from, 1); }},
    {"other IP",
     [](NodeAddress from) {
       from.ip += 1;
       return HeartbeatBytes(from);
     }},
    {"other port",
     [](NodeAddress from) {
       from.port += 1;
       return HeartbeatBytes(from);
     }},
    {"negative time",
     [](NodeAddress from) {
       return SealedBytes(
           EncodeHeartbeat({.from = from, .quarantined = {{7, -1s}}}));
     }},
};

udp::endpoint ToEndpoint(NodeAddress address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HostileDatagramTest)

BOOST_DATA_TEST_CASE(InvalidDatagramIsRejectedAndNextHeartbeatArrives,
                     boost::unit_test::data::make(datagram_faults),
                     fault) {
  IoThreads threads;
  TestNode node(threads.io);
  const auto from = FreeAddress();
  udp::socket socket(threads.io, ToEndpoint(from));
  const auto target = ToEndpoint(node.options.self);
  socket.send_to(asio::buffer(fault.bytes(from)), target);
  socket.send_to(asio::buffer(HeartbeatBytes(from)), target);
  BOOST_REQUIRE(node.observer.WaitFor(
      [](const ReceivedEvents& events) { return !events.heartbeats.empty(); }));
  BOOST_TEST(node.observer.Snapshot().heartbeats.size() == 1U);
  BOOST_TEST((node.observer.Snapshot().heartbeats.front().from == from));
  BOOST_TEST(node.links->Counters().frames_rejected == 1U);
}

BOOST_AUTO_TEST_CASE(HeartbeatFromDisallowedPeerIsRefused) {
  IoThreads threads;
  TestNode node(threads.io);
  TestNode refused_node(threads.io);
  TestNode allowed_node(threads.io);
  node.links->SetAllowedPeers(
      [address = allowed_node.options.self](NodeAddress peer) {
        return peer == address;
      });
  refused_node.links->SendHeartbeat(node.options.self,
                                    {.from = refused_node.options.self});
  BOOST_REQUIRE(
      Eventually([&] { return node.links->Counters().peers_refused == 1; }));
  allowed_node.links->SendHeartbeat(node.options.self,
                                    {.from = allowed_node.options.self});
  BOOST_REQUIRE(node.observer.WaitFor([](const ReceivedEvents& events) {
    return events.heartbeats.size() == 1;
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
