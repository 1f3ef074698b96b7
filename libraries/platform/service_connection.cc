#include "libraries/platform/service_connection.h"

#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "libraries/base/verify.h"

namespace agaterun::platform {

namespace {

using asio::ip::tcp;

}  // namespace

std::shared_ptr<ServiceConnection> ServiceConnection::Create(
    asio::io_context& io,
    Options options) {
  return std::shared_ptr<ServiceConnection>(new ServiceConnection(io, options));
}

ServiceConnection::ServiceConnection(asio::io_context& io, Options options)
    : options(options), socket(io), timer(io), parser(this->MakeParser()) {}

http::ResponseParser ServiceConnection::MakeParser() const {
  return http::ResponseParser({.body_bytes = this->options.max_response_bytes},
                              this->options.without_length);
}

void ServiceConnection::Get(const std::string& target,
                            Duration timeout,
                            Callback callback) {
  VERIFY(!this->done);
  this->done = std::move(callback);
  const auto request_generation = ++this->generation;
  this->request = "GET " + target +
                  " HTTP/1.1\r\nHost: " + this->options.service.ToString() +
                  "\r\n\r\n";
  this->timer.expires_after(timeout);
  this->timer.async_wait([self = this->shared_from_this(),
                          request_generation](const std::error_code& error) {
    if (!error && self->generation == request_generation) {
      self->Fail(ErrorKind::kTimedOut,
                 "the platform's service did not respond in time");
    }
  });
  this->is_reused = this->is_connected;
  if (this->is_connected) {
    this->Write();
  } else {
    this->Connect();
  }
}

void ServiceConnection::Cancel() {
  this->done = nullptr;
  ++this->generation;
  this->timer.cancel();
  this->Close();
}

void ServiceConnection::Connect() {
  this->parser = this->MakeParser();
  std::error_code ignored;
  this->socket.open(tcp::v4(), ignored);
  this->socket.set_option(tcp::no_delay(true), ignored);
  const tcp::endpoint target(asio::ip::address_v4(this->options.service.ip),
                             this->options.service.port);
  this->socket.async_connect(target, [self = this->shared_from_this(),
                                      request_generation = this->generation](
                                         const std::error_code& error) {
    if (self->generation != request_generation) {
      return;
    }
    if (error) {
      self->Fail(ErrorKind::kConnectionFailed, error.message());
      return;
    }
    self->is_connected = true;
    self->Write();
  });
}

void ServiceConnection::Write() {
  asio::async_write(
      this->socket, asio::buffer(this->request),
      [self = this->shared_from_this(), request_generation = this->generation](
          const std::error_code& error, std::size_t /*count*/) {
        if (self->generation == request_generation && error) {
          self->Fail(ErrorKind::kConnectionFailed, error.message());
        }
      });
  this->Read();
}

void ServiceConnection::Read() {
  this->socket.async_read_some(
      asio::buffer(this->read_buffer),
      [self = this->shared_from_this(), request_generation = this->generation](
          const std::error_code& error, std::size_t count) {
        if (self->generation == request_generation) {
          self->OnBytes(error, count);
        }
      });
}

void ServiceConnection::OnBytes(const std::error_code& error,
                                std::size_t count) {
  if (error) {
    // The service may have closed the reused connection while it was idle,
    // which is no failure of it: the request is sent once more on a new
    // connection.
    if (this->is_reused && !this->parser.HasStarted()) {
      this->is_reused = false;
      this->Close();
      this->Connect();
      return;
    }
    if (error == asio::error::eof) {
      this->parser.FeedEnd();
      if (this->FinishIfDone(/*is_reusable=*/false)) {
        return;
      }
    }
    this->Fail(ErrorKind::kConnectionFailed, error.message());
    return;
  }
  const auto consumed =
      this->parser.Feed(std::string_view(this->read_buffer.data(), count));
  if (!consumed) {
    this->Fail(consumed.error().kind, consumed.error().message);
    return;
  }
  if (!this->FinishIfDone(*consumed == count)) {
    this->Read();
  }
}

bool ServiceConnection::FinishIfDone(bool is_reusable) {
  if (!this->parser.IsDone()) {
    return false;
  }
  bool keep_alive = false;
  auto response = this->parser.Take(keep_alive);
  if (!keep_alive || !is_reusable) {
    this->Close();
  }
  this->Finish(std::move(response));
  return true;
}

void ServiceConnection::Fail(ErrorKind kind, const std::string& message) {
  this->Close();
  this->Finish(MakeError(kind, message));
}

void ServiceConnection::Finish(Result<HttpResponse> result) {
  ++this->generation;
  this->timer.cancel();
  if (const auto callback = std::exchange(this->done, nullptr); callback) {
    callback(std::move(result));
  }
}

void ServiceConnection::Close() {
  this->is_connected = false;
  std::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace agaterun::platform
