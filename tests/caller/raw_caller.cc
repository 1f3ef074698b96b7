#include "tests/caller/raw_caller.h"

#include <sys/socket.h>
#include <sys/time.h>

#include <array>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace agaterun::caller {

namespace {

constexpr int kHangGuardSeconds = 10;

}  // namespace

RawCaller::RawCaller(NodeAddress server) : socket(this->io), parser({}) {
  this->socket.connect({asio::ip::address_v4(server.ip), server.port});
  const timeval guard = {.tv_sec = kHangGuardSeconds, .tv_usec = 0};
  setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &guard,
             sizeof(guard));
}

void RawCaller::Send(std::string_view bytes) {
  std::error_code ignored;  // Read fails if the server has closed.
  asio::write(this->socket, asio::buffer(bytes), ignored);
}

std::optional<HttpResponse> RawCaller::Read() {
  while (!this->parser.IsDone()) {
    if (this->unread.empty() && !this->ReadMore()) {
      return std::nullopt;
    }
    const auto used = this->parser.Feed(this->unread);
    if (!used) {
      return std::nullopt;
    }
    this->unread.erase(0, *used);
  }
  return this->parser.Take(this->keep_alive);
}

bool RawCaller::ReadsEnd() {
  return this->unread.empty() && !this->ReadMore();
}

bool RawCaller::ReadMore() {
  std::array<char, 4096> buffer;
  std::error_code error;
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
  this->unread.append(buffer.data(), count);
  return !error;
}

void RawCaller::EndSending() {
  this->socket.shutdown(asio::ip::tcp::socket::shutdown_send);
}

void RawCaller::Reset() {
  this->socket.set_option(asio::socket_base::linger(true, 0));
  this->socket.close();
}

}  // namespace agaterun::caller
