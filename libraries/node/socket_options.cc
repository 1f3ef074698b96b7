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
constexpr std::chrono::milliseconds kUnacknowledgedTimeout{5000};
// TCP keepalive detects an idle connection to an unreachable host.
constexpr std::chrono::seconds kProbeAfter{30};
constexpr std::chrono::seconds kProbeInterval{5};

void SetInteger(tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: frames can be exchanged without the option.
  (void)::setsockopt(socket.native_handle(), level, name, &value,
                     sizeof(value));
}

}  // namespace

std::error_code OpenFrom(tcp::socket& socket, std::uint32_t ip) {
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

void PrepareForFrames(tcp::socket& socket) {
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetInteger(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
             static_cast<int>(kUnacknowledgedTimeout.count()));
  SetInteger(socket, IPPROTO_TCP, TCP_KEEPIDLE,
             static_cast<int>(kProbeAfter.count()));
  SetInteger(socket, IPPROTO_TCP, TCP_KEEPINTVL,
             static_cast<int>(kProbeInterval.count()));
}

}  // namespace agaterun::node
