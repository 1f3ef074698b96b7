#include "tests/fakes/raw_server.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cstdlib>
#include <utility>

namespace agaterun::fakes {

using asio::ip::tcp;

struct RawServer::Session {
  explicit Session(tcp::socket socket) : socket(std::move(socket)) {}
  tcp::socket socket;
  std::array<char, 4096> input{};
  std::string received;
};

RawServer::RawServer(asio::io_context& io, Script script)
    : acceptor(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      script(std::move(script)) {
  this->Accept();
}

NodeAddress RawServer::Address() const {
  return {.ip = asio::ip::address_v4::loopback().to_uint(),
          .port = this->acceptor.local_endpoint().port()};
}

void RawServer::Accept() {
  this->acceptor.async_accept(
      [this](const std::error_code& error, tcp::socket socket) {
        if (error) {
          return;
        }
        ++this->connections;
        this->Read(std::make_shared<Session>(std::move(socket)));
        this->Accept();
      });
}

void RawServer::Read(const std::shared_ptr<Session>& session) {
  session->socket.async_read_some(
      asio::buffer(session->input),
      [this, session](const std::error_code& error, std::size_t count) {
        if (error) {
          return;
        }
        session->received.append(session->input.data(), count);
        while (this->HandleRequest(session)) {
        }
        if (session->socket.is_open()) {
          this->Read(session);
        }
      });
}

bool RawServer::HandleRequest(const std::shared_ptr<Session>& session) {
  const auto end = session->received.find("\r\n\r\n");
  if (end == std::string::npos || !session->socket.is_open()) {
    return false;
  }
  const auto head = session->received.substr(0, end + 4);
  constexpr std::string_view kLengthHeader = "Content-Length: ";
  const auto length_position = head.find(kLengthHeader);
  const auto body_size =
      length_position == std::string::npos
          ? 0UL
          : std::strtoul(head.c_str() + length_position + kLengthHeader.size(),
                         nullptr, 10);
  if (session->received.size() < head.size() + body_size) {
    return false;
  }
  session->received.erase(0, head.size() + body_size);
  this->heads.push_back(head);
  const auto reaction = this->script(head);
  std::error_code ignored;
  asio::write(session->socket, asio::buffer(reaction.bytes), ignored);
  if (reaction.end == ScriptedResponse::End::kReset) {
    session->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  if (reaction.end != ScriptedResponse::End::kKeepOpen) {
    session->socket.close(ignored);
  }
  return true;
}

}  // namespace agaterun::fakes
