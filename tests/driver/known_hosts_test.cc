#include "libraries/driver/known_hosts.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::driver {

namespace {

NodeAddress Host(std::uint32_t number) {
  return NodeAddress{.ip = 0x7f000000 + number, .port = 7400};
}

decision::TicketState StateWith(NodeAddress endpoint) {
  auto service = std::make_shared<decision::ServiceState>();
  service->endpoints.push_back({.name = "a", .node = endpoint});
  decision::TicketState state;
  state.items["service a"].service = service;
  return state;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(KnownHostsTest)

BOOST_AUTO_TEST_CASE(AllMaySpeakUntilATicketIsInForce) {
  KnownHosts hosts;
  hosts.SetSeeds({Host(1)});
  BOOST_TEST(hosts.Knows(Host(9)));
  hosts.SetTickets(StateWith(Host(2)));
  BOOST_TEST(!hosts.Knows(Host(9)));
}

BOOST_AUTO_TEST_CASE(SeedsTicketsAndHostListAreKnown) {
  KnownHosts hosts;
  hosts.SetSeeds({Host(1)});
  hosts.SetTickets(StateWith(Host(2)));
  hosts.SetHostList({{.name = "c", .node = Host(3)}});
  BOOST_TEST(hosts.Knows(Host(1)));
  BOOST_TEST(hosts.Knows(Host(2)));
  BOOST_TEST(hosts.Knows(Host(3)));
  BOOST_TEST(!hosts.Knows(Host(4)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::driver
