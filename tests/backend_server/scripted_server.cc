#include "tests/backend_server/scripted_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <array>
#include <stdexcept>
#include <string>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

namespace agaterun::backend_server {

namespace {

constexpr int kWaitTimeoutSeconds = 10;

}  // namespace

ScriptedConnection::ScriptedConnection(asio::ip::tcp::socket socket)
    : socket(std::move(socket)), parser({}) {
  const timeval receive_timeout = {.tv_sec = kWaitTimeoutSeconds, .tv_usec = 0};
  setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
             &receive_timeout, sizeof(receive_timeout));
}

std::optional<HttpRequest> ScriptedConnection::Read() {
  std::array<char, 4096> buffer;
  while (!this->parser.IsDone()) {
    std::error_code error;
    const std::size_t count =
        this->socket.read_some(asio::buffer(buffer), error);
    if (error || !this->parser.Feed({buffer.data(), count})) {
      return std::nullopt;
    }
  }
  bool keep_alive = false;
  return this->parser.Take(keep_alive);
}

void ScriptedConnection::Send(std::string_view bytes) {
  std::error_code ignored;  // The client may have closed.
  asio::write(this->socket, asio::buffer(bytes), ignored);
}

void ScriptedConnection::Close(bool reset) {
  if (reset) {
    this->socket.set_option(asio::socket_base::linger(true, 0));
  }
  this->socket.close();
}

bool ScriptedConnection::IsClosedByClient() {
  char byte = 0;
  std::error_code error;
  this->socket.read_some(asio::buffer(&byte, 1), error);
  return error && error != asio::error::would_block;
}

bool ScriptedConnection::ClosesWithoutRequest() {
  char byte = 0;
  std::error_code error;
  this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                       error);
  return static_cast<bool>(error);
}

ScriptedServer::ScriptedServer() : acceptor(this->io) {
  this->Listen();
}

void ScriptedServer::Listen() {
  this->acceptor.open(asio::ip::tcp::v4());
  this->acceptor.set_option(asio::socket_base::reuse_address(true));
  this->acceptor.bind({asio::ip::address_v4::loopback(), this->address.port});
  this->acceptor.listen();
  this->address = {.ip = 0x7f000001,
                   .port = this->acceptor.local_endpoint().port()};
}

void ScriptedServer::StopListening() {
  this->acceptor.close();
}

ScriptedServer::Accepted ScriptedServer::Accept() {
  while (true) {
    ScriptedConnection connection = this->AcceptConnection();
    if (auto request = connection.Read(); request) {
      return {std::move(connection), *std::move(request)};
    }
  }
}

ScriptedConnection ScriptedServer::AcceptConnection() {
  pollfd waiting = {.fd = this->acceptor.native_handle(), .events = POLLIN};
  if (poll(&waiting, 1, kWaitTimeoutSeconds * 1000) != 1) {
    throw std::runtime_error("timed out waiting for a connection");
  }
  return ScriptedConnection(this->acceptor.accept());
}

}  // namespace agaterun::backend_server
