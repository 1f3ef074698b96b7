#ifndef LIBRARIES_NODE_SOCKET_OPTIONS_H_
#define LIBRARIES_NODE_SOCKET_OPTIONS_H_

#include <asio/ip/tcp.hpp>
#include <cstdint>
#include <system_error>

namespace agaterun::node {

// Opens `socket` so that it connects from `ip` (host byte order).
std::error_code OpenBound(asio::ip::tcp::socket& socket, std::uint32_t ip);

// Makes a connected socket non-blocking, disables Nagle's algorithm, and sets
// timeouts that detect an unreachable host quickly.
void ConfigureForFrames(asio::ip::tcp::socket& socket);

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_SOCKET_OPTIONS_H_
