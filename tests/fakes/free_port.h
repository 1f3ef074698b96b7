#ifndef TESTS_FAKES_FREE_PORT_H_
#define TESTS_FAKES_FREE_PORT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <set>

#include "libraries/base/node_address.h"

namespace agaterun::fakes {

// An address on `ip` whose port was free for TCP a moment ago. The kernel may
// hand out a port again as soon as it is free, so those that this process was
// given before are passed over.
inline NodeAddress FreeAddress(std::uint32_t ip) {
  static std::set<NodeAddress> given;
  asio::io_context io;
  while (true) {
    const asio::ip::tcp::acceptor acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::address_v4(ip), 0));
    const NodeAddress address{.ip = ip,
                              .port = acceptor.local_endpoint().port()};
    if (given.insert(address).second) {
      return address;
    }
  }
}

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_FREE_PORT_H_
