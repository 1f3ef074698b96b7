#include "libraries/node/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace agaterun::node {

namespace {

using asio::ip::tcp;

// Maximum time that sent data may stay unacknowledged. Without this limit the
// kernel would retransmit to an unreachable host for a quarter of an hour.
constexpr std::chrono::milliseconds kUnacknowledgedDataTimeout{5000};
// TCP keepalive detects an idle connection to an unreachable host.
constexpr std::chrono::seconds kKeepAliveDelay{30};
constexpr std::chrono::seconds kKeepAliveInterval{5};

void SetInteger(tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: frames can be exchanged without the option.
  (void)::setsockopt(socket.native_handle(), level, name, &value,
                     sizeof(value));
}

}  // namespace

std::error_code OpenBound(tcp::socket& socket, std::uint32_t ip) {
  std::error_code error;
  socket.open(tcp::v4(), error);
  if (!error) {
    // The kernel selects the local port at connect, when the remote address is
    // known, so connections to different peers can share a port.
    SetInteger(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1);
    socket.bind(tcp::endpoint(asio::ip::address_v4(ip), 0), error);
  }
  return error;
}

void ConfigureForFrames(tcp::socket& socket) {
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetInteger(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(kUnacknowledgedDataTimeout.count()));
  SetInteger(socket, IPPROTO_TCP, TCP_KEEPIDLE,
             static_cast<int>(kKeepAliveDelay.count()));
  SetInteger(socket, IPPROTO_TCP, TCP_KEEPINTVL,
             static_cast<int>(kKeepAliveInterval.count()));
}

}  // namespace agaterun::node
