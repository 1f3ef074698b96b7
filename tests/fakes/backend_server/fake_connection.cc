#include "tests/fakes/backend_server/fake_connection.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "libraries/http/message_writer.h"

namespace agaterun::fakes {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;

}  // namespace

FakeConnection::FakeConnection(asio::ip::tcp::socket socket,
                               FakeConnectionOwner& owner)
    : socket(std::move(socket)), owner(owner), parser({}) {
  std::error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void FakeConnection::Start() {
  this->WaitForInput();
}

void FakeConnection::WaitForInput() {
  // No buffer is held while waiting, so that idle connections are small.
  this->socket.async_wait(
      asio::ip::tcp::socket::wait_read,
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->socket.is_open()) {
          self->OnReadable();
        }
      });
}

void FakeConnection::OnReadable() {
  std::array<char, kReadSize> buffer;
  std::error_code error;
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
  if (error && error != asio::error::would_block) {
    this->End();
    return;
  }
  if (this->busy) {
    this->read_ahead.append(buffer.data(), count);
  } else {
    this->Parse({buffer.data(), count});
  }
  if (this->socket.is_open()) {
    this->WaitForInput();
  }
}

void FakeConnection::Parse(std::string_view bytes) {
  const auto used = this->parser.Feed(bytes);
  if (!used) {
    this->End();
    return;
  }
  if (!this->parser.IsDone()) {
    return;
  }
  this->read_ahead.assign(bytes.substr(*used));
  this->busy = true;
  HttpRequest request = this->parser.Take(this->keep_alive);
  this->head_method = request.method == "HEAD";
  this->owner.OnRequest(this->shared_from_this(), std::move(request));
}

void FakeConnection::Answer(const HttpResponse& response, Delivery delivery) {
  if (!this->socket.is_open()) {
    return;
  }
  if (!this->keep_alive && delivery == Delivery::kWhole) {
    delivery = Delivery::kWholeThenClose;
  }
  this->output = http::WriteResponse(response, delivery == Delivery::kWhole,
                                     this->head_method);
  if (delivery == Delivery::kResetMidBody) {
    this->output.resize(this->output.size() - response.body.size() / 2 - 1);
  }
  asio::async_write(this->socket, asio::buffer(this->output),
                    [self = this->shared_from_this(), delivery](
                        const std::error_code& error, std::size_t) {
                      if (!error) {
                        self->OnWritten(delivery);
                      }
                    });
}

void FakeConnection::OnWritten(Delivery delivery) {
  this->busy = false;
  std::string().swap(this->output);
  if (delivery == Delivery::kResetMidBody) {
    this->Close(true);
    this->owner.OnEnded(this->shared_from_this());
    return;
  }
  if (delivery == Delivery::kWholeThenClose) {
    this->End();
    return;
  }
  std::string pipelined;
  pipelined.swap(this->read_ahead);
  if (!pipelined.empty()) {
    this->Parse(pipelined);
  }
}

void FakeConnection::End() {
  this->Close();
  this->owner.OnEnded(this->shared_from_this());
}

void FakeConnection::Close(bool reset) {
  std::error_code ignored;
  if (reset) {
    this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  this->socket.close(ignored);
}

}  // namespace agaterun::fakes
