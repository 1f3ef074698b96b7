#include "libraries/backend_server/backend_connection.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

namespace agaterun::backend_server {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;

bool WouldBlock(const std::error_code& error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

BackendConnection::BackendConnection(
    Strand strand,
    http::MessageLimits limits,
    std::weak_ptr<BackendConnectionOwner> owner)
    : socket(strand), owner(std::move(owner)), parser(limits) {}

void BackendConnection::Connect(const asio::ip::tcp::endpoint& endpoint,
                                Duration timeout) {
  this->connect_timer =
      std::make_unique<asio::steady_timer>(this->socket.get_executor());
  this->connect_timer->expires_after(timeout);
  this->connect_timer->async_wait(
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->phase == Phase::kConnecting) {
          self->OnConnectCompleted(asio::error::timed_out);
        }
      });
  this->socket.async_connect(endpoint, [self = this->shared_from_this()](
                                           const std::error_code& error) {
    if (self->phase == Phase::kConnecting) {
      self->OnConnectCompleted(error);
    }
  });
}

void BackendConnection::OnConnectCompleted(const std::error_code& error) {
  this->connect_timer.reset();
  const auto owner = this->owner.lock();
  if (error) {
    this->Close();
    if (owner) {
      owner->OnConnectFailed(this->shared_from_this());
    }
    return;
  }
  std::error_code ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  this->phase = Phase::kIdle;
  this->WaitForInput();
  if (owner) {
    owner->OnConnected(this->shared_from_this());
  }
}

void BackendConnection::Send(BackendRequest request) {
  this->request = std::move(request);
  this->phase = Phase::kBusy;
  if (this->request.is_head) {
    this->parser.ExpectNoBody();
  }
  this->Write();
  this->WaitForInput();
}

void BackendConnection::Write() {
  // Most requests fit into the socket's buffer. The response to one that was
  // written as a whole may be handled before the completion of an asynchronous
  // write, so that the request would still count as being written.
  std::error_code error;
  const std::size_t written =
      this->socket.write_some(asio::buffer(this->request.bytes), error);
  if (!error && written == this->request.bytes.size()) {
    return;
  }
  this->writing = true;
  asio::async_write(this->socket, asio::buffer(this->request.bytes) + written,
                    [self = this->shared_from_this(), written](
                        const std::error_code& write_error, std::size_t count) {
                      self->OnWritten(write_error, written + count);
                    });
}

bool BackendConnection::IsUsable() {
  char byte = 0;
  std::error_code error;
  this->socket.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
  return this->phase == Phase::kIdle && WouldBlock(error);
}

void BackendConnection::Close() {
  this->phase = Phase::kClosed;
  this->connect_timer.reset();
  std::error_code ignored;
  this->socket.close(ignored);
}

void BackendConnection::WaitForInput() {
  if (this->waiting_for_input || this->phase == Phase::kClosed) {
    return;
  }
  this->waiting_for_input = true;
  // Waits until the socket is readable instead of reading, so that a waiting
  // connection holds no read buffer. Waits while idle too, to detect a close at
  // once.
  this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](
                                                 const std::error_code& error) {
    self->waiting_for_input = false;
    if (!error && self->phase != Phase::kClosed) {
      self->OnReadable();
    }
  });
}

void BackendConnection::OnReadable() {
  std::array<char, kReadSize> buffer;
  std::error_code error;
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
  if (WouldBlock(error)) {
    this->WaitForInput();
  } else if (error) {
    this->OnConnectionEnded(error.message());
  } else {
    this->OnBytes(std::string_view(buffer.data(), count));
    this->WaitForInput();
  }
}

void BackendConnection::OnBytes(std::string_view bytes) {
  if (this->phase != Phase::kBusy) {
    this->OnConnectionEnded("received bytes without a request in flight");
    return;
  }
  const auto used = this->parser.Feed(bytes);
  if (!used) {
    this->Break({.response_truncated = true, .detail = used.error().message});
  } else if (this->parser.IsDone()) {
    this->OnResponseComplete(*used < bytes.size());
  }
}

void BackendConnection::OnResponseComplete(bool trailing_bytes) {
  if (trailing_bytes) {
    // The announced length differs from the number of bytes sent, so a response
    // that looks complete may be truncated.
    this->Break({.response_truncated = true,
                 .detail = "received more bytes than the response announced"});
    return;
  }
  bool keep_alive = false;
  HttpResponse response = this->parser.Take(keep_alive);
  // If the response arrives before the request is fully written, the rest of
  // the request is still being sent, and the backend server would read it as
  // the next request.
  const bool reusable = keep_alive && !this->writing;
  this->phase = Phase::kIdle;
  this->has_carried_response = true;
  if (reusable) {
    std::string().swap(this->request.bytes);
  } else {
    this->Close();
  }
  if (const auto owner = this->owner.lock(); owner) {
    owner->OnResponse(this->shared_from_this(), std::move(response), reusable);
  }
}

void BackendConnection::OnConnectionEnded(const std::string& detail) {
  if (this->phase == Phase::kBusy) {
    this->Break(
        {.response_truncated = this->parser.HasStarted(), .detail = detail});
    return;
  }
  this->Close();
  if (const auto owner = this->owner.lock(); owner) {
    owner->OnIdleClosed(this->shared_from_this());
  }
}

void BackendConnection::OnWritten(const std::error_code& error,
                                  std::size_t count) {
  this->writing = false;
  // Once the exchange has ended, a write error no longer matters.
  if (!error || this->phase != Phase::kBusy) {
    return;
  }
  this->Break({.any_byte_written = count > 0, .detail = error.message()});
}

void BackendConnection::Break(ConnectionFailure reason) {
  this->Close();
  if (const auto owner = this->owner.lock(); owner) {
    owner->OnBroken(this->shared_from_this(), std::move(reason));
  }
}

}  // namespace agaterun::backend_server
