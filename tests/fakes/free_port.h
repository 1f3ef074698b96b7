#ifndef TESTS_FAKES_FREE_PORT_H_
#define TESTS_FAKES_FREE_PORT_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <cstdint>

#include "libraries/base/node_address.h"

namespace agaterun::fakes {

// An address on `ip` whose port was free for TCP a moment ago. The kernel
// hands out ephemeral ports in an order that does not repeat soon.
inline NodeAddress FreeAddress(std::uint32_t ip) {
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
      io, asio::ip::tcp::endpoint(asio::ip::address_v4(ip), 0));
  return NodeAddress{.ip = ip, .port = acceptor.local_endpoint().port()};
}

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_FREE_PORT_H_
