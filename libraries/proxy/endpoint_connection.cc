#include "libraries/proxy/endpoint_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/base/verify.h"

namespace agaterun::proxy {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr std::size_t kMaxResponseBytes = 64 * 1024 * 1024;
constexpr int kMinNonSuccessStatus = 300;

// Used when the backend server sends no Keep-Alive timeout.
constexpr Duration kDefaultIdleTime = 4s;

std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> scratch;
  return scratch;
}

http::ResponseParser MakeParser() {
  return http::ResponseParser(
      {.body_bytes = kMaxResponseBytes},
      http::ResponseParser::WithoutLength::kEndsWithConnection);
}

}  // namespace

EndpointConnection::EndpointConnection(
    asio::io_context& io,
    EndpointConnectionOwner& owner,
    std::string request_id_header,
    std::shared_ptr<admission::ResponseMemory> memory)
    : socket(io),
      owner(owner),
      request_id_header(std::move(request_id_header)),
      memory(std::move(memory)),
      parser(MakeParser()) {}

void EndpointConnection::Connect(NodeAddress address) {
  std::error_code ignored;
  this->socket.open(tcp::v4(), ignored);
  this->socket.set_option(tcp::no_delay(true), ignored);
  const tcp::endpoint target(asio::ip::address_v4(address.ip), address.port);
  this->socket.async_connect(
      target, [self = this->shared_from_this()](const std::error_code& error) {
        if (self->state != State::kConnecting) {
          return;
        }
        if (!error) {
          std::error_code ignored;
          self->socket.non_blocking(true, ignored);
          self->state = State::kIdle;
          self->idle_since = MonotonicClock().Now();
          self->Read();
        }
        self->owner.OnConnectEnded(self, !error);
      });
}

Duration EndpointConnection::UsableIdleTime() const {
  const auto advertised = this->parser.IdleTimeout();
  // Close well before the backend server does, so that no request is sent on a
  // connection that it is closing.
  return advertised ? std::max(Duration{}, *advertised * 7 / 10)
                    : kDefaultIdleTime;
}

void EndpointConnection::Send(std::string bytes, std::string id, bool is_head) {
  VERIFY(this->state == State::kIdle);
  this->state = State::kBusy;
  this->request = std::move(bytes);
  this->request_id = std::move(id);
  if (is_head) {
    this->parser.ExpectNoBody();
  }
  this->writing = true;
  this->request_written = 0;
  this->Write();
  this->Read();
}

void EndpointConnection::Write() {
  std::error_code error;
  this->request_written += this->socket.write_some(
      asio::buffer(this->request) + this->request_written, error);
  if (error && error != asio::error::would_block) {
    // The backend server may have responded before it ended the connection, so
    // what it sent is still read. The socket reports its error only once,
    // though: the read finds an orderly end even after a reset. Only
    // broken_pipe means that the input had ended in order before.
    this->failed_in_write = error != asio::error::broken_pipe;
    return;
  }
  this->writing = this->request_written < this->request.size();
  if (this->writing) {
    this->WaitForOutput();
  }
}

void EndpointConnection::WaitForOutput() {
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->IsOpen()) {
          self->Write();
        }
      });
}

void EndpointConnection::Read() {
  if (this->reading || !this->IsOpen()) {
    return;
  }
  this->reading = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const std::error_code& error) {
        self->reading = false;
        self->OnReadable(error);
      });
}

void EndpointConnection::OnReadable(const std::error_code& error) {
  if (!this->IsOpen()) {
    return;
  }
  std::error_code read_error = error;
  std::size_t count = 0;
  if (!read_error) {
    count = this->socket.read_some(asio::buffer(ReadBuffer()), read_error);
  }
  if (read_error == asio::error::would_block) {
    this->Read();
    return;
  }
  if (read_error) {
    this->OnEnd(read_error == asio::error::eof && !this->failed_in_write);
    return;
  }
  this->OnBytes(std::string_view(ReadBuffer().data(), count));
}

void EndpointConnection::OnBytes(std::string_view bytes) {
  if (this->state == State::kIdle) {
    // Data without a request: the connection can't be trusted any more.
    this->OnEnd(/*orderly=*/false);
    return;
  }
  while (!bytes.empty() && this->state == State::kBusy) {
    const auto used = this->parser.Feed(bytes);
    if (!used) {
      this->OnEnd(/*orderly=*/false);
      return;
    }
    bytes.remove_prefix(*used);
    if (!this->ReserveMemory()) {
      return;
    }
    if (!this->parser.IsDone()) {
      break;
    }
    this->HandleResponse(!bytes.empty());
  }
  if (this->state == State::kBusy || this->state == State::kIdle) {
    this->Read();
  }
}

bool EndpointConnection::ReserveMemory() {
  const auto bytes = this->parser.BodyBytes();
  if (bytes == 0) {
    return true;
  }
  if (!this->reservation) {
    this->reservation =
        std::make_unique<admission::ResponseMemory::Reservation>(this->memory);
    this->reservation->StartReceiving(this->parser.StatedLength(),
                                      [this] { this->GiveUp(); });
  }
  if (!this->reservation->Extend(bytes)) {
    this->GiveUp();
    return false;
  }
  return true;
}

void EndpointConnection::GiveUp() {
  this->Close();
  this->state = State::kGivenUp;
  this->parser = MakeParser();
  // The memory may have been taken by another response, whose connection is
  // still reading. The owner may close that one.
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    if (self->state == State::kGivenUp) {
      self->state = State::kClosed;
      self->owner.OnGivenUp(self);
    }
  });
}

decision::Answer EndpointConnection::TakeResponse(bool& keep_alive) {
  auto response =
      std::make_shared<const HttpResponse>(this->parser.Take(keep_alive));
  return admission::HoldResponse(std::move(response),
                                 std::move(this->reservation));
}

// A late response to an earlier request may arrive in place of the response to
// the current one, so the request id is compared. A response without an id is
// accepted only if its status is not a success.
bool EndpointConnection::MatchesRequest(const HttpResponse& response) const {
  const auto* id = FindHeader(response.headers, this->request_id_header);
  if (id == nullptr) {
    return response.status >= kMinNonSuccessStatus;
  }
  return *id == this->request_id;
}

void EndpointConnection::HandleResponse(bool trailing_bytes) {
  bool keep_alive = false;
  auto response = this->TakeResponse(keep_alive);
  if (this->has_received_response &&
      FindHeader(response->headers, this->request_id_header) == nullptr) {
    // It may repeat the response to an earlier request. A repeated refusal
    // would say of a running request that it did not run.
    this->OnEnd(/*orderly=*/false);
    return;
  }
  if (!this->MatchesRequest(*response)) {
    this->received_mismatched_response = true;
    if (!keep_alive) {
      this->OnEnd(/*orderly=*/false);
    }
    return;
  }
  // If the response arrived before the request was fully written, the remaining
  // bytes would be parsed as part of the next request, so the connection can't
  // be reused.
  const bool reusable = keep_alive && !trailing_bytes && !this->writing &&
                        !this->received_mismatched_response;
  this->has_received_response = true;
  const auto self = this->shared_from_this();
  if (reusable) {
    this->state = State::kIdle;
    this->idle_since = MonotonicClock().Now();
  } else {
    this->Close();
  }
  this->owner.OnResponse(self, std::move(response), reusable);
}

void EndpointConnection::OnEnd(bool orderly) {
  const auto self = this->shared_from_this();
  if (this->state == State::kIdle) {
    this->Close();
    this->owner.OnIdleEnded(self);
    return;
  }
  if (orderly) {
    this->parser.FeedEnd();
    if (this->parser.IsDone()) {
      this->HandleResponse(/*trailing_bytes=*/false);
      if (this->state == State::kClosed) {
        return;
      }
    }
  }
  this->Close();
  this->owner.OnBroken(self);
}

void EndpointConnection::Close() {
  this->state = State::kClosed;
  this->reservation.reset();
  std::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace agaterun::proxy
