#include "libraries/proxy/http_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/base/http_status.h"
#include "libraries/calls/error_response.h"
#include "libraries/http/message_writer.h"

namespace agaterun::proxy {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr Duration kLingerTime = 1s;

// Read buffer shared by all connections, so that a connection that waits for
// input needs no buffer of its own.
std::array<char, kReadBufferBytes>& ReadBuffer() {
  static std::array<char, kReadBufferBytes> scratch;
  return scratch;
}

}  // namespace

HttpConnection::HttpConnection(HttpListener& listener, tcp::socket socket)
    : listener(&listener),
      socket(std::move(socket)),
      parser(listener.GetOptions().limits) {
  std::error_code ignored;
  this->socket.set_option(tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
  if (const auto remote = this->socket.remote_endpoint(ignored); !ignored) {
    this->caller = {.ip = remote.address().to_v4().to_uint(),
                    .port = remote.port()};
  }
}

void HttpConnection::Start() {
  this->SetDeadline(this->listener->GetOptions().idle_timeout);
  this->WaitForInput();
}

void HttpConnection::SetDeadline(Duration from_now) {
  this->deadline = MonotonicClock().Now() + from_now;
}

bool HttpConnection::IsIdle() const {
  return this->pending.empty() && this->output.empty() &&
         this->writing.empty() && !this->parser.HasStarted() &&
         this->read_ahead.empty();
}

void HttpConnection::WaitForInput() {
  if (this->waiting_for_input || this->closed) {
    return;
  }
  this->waiting_for_input = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const std::error_code& error) {
        self->waiting_for_input = false;
        self->OnReadable(error);
      });
}

void HttpConnection::OnReadable(const std::error_code& error) {
  if (this->closed) {
    return;
  }
  if (error) {
    this->Close();
    return;
  }
  std::error_code read_error;
  const auto count =
      this->socket.read_some(asio::buffer(ReadBuffer()), read_error);
  if (read_error == asio::error::would_block) {
    this->WaitForInput();
    return;
  }
  if (read_error) {
    this->Close();
    return;
  }
  if (!this->lingering && !this->reading_stopped) {
    this->Parse(std::string_view(ReadBuffer().data(), count));
  }
  // Keep reading while requests are in flight: a caller cancels its requests by
  // closing the connection.
  const bool is_full = this->read_ahead.size() >
                       this->listener->GetOptions().limits.body_bytes +
                           this->listener->GetOptions().limits.header_bytes;
  if (!this->closed && !is_full) {
    this->WaitForInput();
  }
}

void HttpConnection::Parse(std::string_view bytes) {
  if (this->parsing) {
    this->read_ahead.append(bytes);
    return;
  }
  this->parsing = true;
  std::string buffered;
  if (!this->read_ahead.empty()) {
    buffered = std::exchange(this->read_ahead, {});
    buffered.append(bytes);
    bytes = buffered;
  }
  const auto self = this->shared_from_this();
  while (!bytes.empty() && !this->closed && !this->reading_stopped) {
    if (this->pending.size() >= this->listener->GetOptions().max_pipelined) {
      this->read_ahead.append(bytes);
      break;
    }
    const bool had_started = this->parser.HasStarted();
    if (!had_started) {
      // The configuration may have changed since the request before.
      const auto& options = this->listener->GetOptions();
      this->parser.SetLimits(options.limits);
      this->has_configured_limits = options.has_configured_limits;
    }
    const auto used = this->parser.Feed(bytes);
    if (!used) {
      this->Reject(used.error());
      break;
    }
    bytes.remove_prefix(*used);
    if (this->parser.IsDone()) {
      this->SubmitRequest();
      continue;
    }
    if (!had_started && this->pending.empty()) {
      this->SetDeadline(this->listener->GetOptions().header_timeout);
    }
    if (this->parser.ExpectsContinue() && !this->continue_sent &&
        this->pending.empty()) {
      this->continue_sent = true;
      this->output.push_back({.head = "HTTP/1.1 100 Continue\r\n\r\n"});
      this->Write();
    }
    break;
  }
  this->parsing = false;
}

void HttpConnection::SubmitRequest() {
  bool keep_alive = false;
  auto request = this->parser.Take(keep_alive);
  this->continue_sent = false;
  this->pending.push_back(
      {.keep_alive = keep_alive, .is_head = request.method == "HEAD"});
  if (!keep_alive) {
    this->reading_stopped = true;
  }
  this->listener->StartCall(this->shared_from_this(), std::move(request),
                            this->caller);
}

void HttpConnection::AssignCall(decision::CallId call) {
  this->pending.back().call = call;
}

void HttpConnection::Reject(const Error& error) {
  if (error.kind == ErrorKind::kLimitReached && !this->has_configured_limits) {
    this->RejectWith(calls::MakeErrorResponse(
        http_status::kUnavailable, decision::Reason::kWaitingForState,
        calls::kRejectionRetryAfter));
    return;
  }
  int status = http_status::kBadRequest;
  if (error.kind == ErrorKind::kLimitReached) {
    status = this->parser.HeadIsDone() ? http_status::kContentTooLarge
                                       : http_status::kHeadersTooLarge;
  }
  this->RejectWith(status, error.message);
}

void HttpConnection::RejectWith(int status, const std::string& message) {
  HttpResponse response{.status = status, .body = message + "\n"};
  response.headers.push_back({"Content-Type", "text/plain"});
  this->RejectWith(std::move(response));
}

void HttpConnection::RejectWith(HttpResponse response) {
  this->reading_stopped = true;
  this->pending.push_back(
      {.keep_alive = false,
       .response = std::make_shared<const HttpResponse>(std::move(response))});
  this->Flush();
}

void HttpConnection::Respond(decision::CallId call, decision::Answer response) {
  for (auto& entry : this->pending) {
    if (entry.call == call && !entry.response) {
      entry.response = std::move(response);
      break;
    }
  }
  this->Flush();
  // The response may have made room for requests in the read-ahead buffer.
  if (!this->read_ahead.empty() && !this->closed && !this->parsing) {
    this->Parse({});
    this->WaitForInput();
  }
}

void HttpConnection::Flush() {
  while (!this->pending.empty() && this->pending.front().response) {
    const auto& front = this->pending.front();
    const bool is_last = this->pending.size() == 1 &&
                         !this->parser.HasStarted() && this->read_ahead.empty();
    const bool keep_alive =
        front.keep_alive && !(is_last && this->listener->IsClosing());
    this->output.push_back(
        {.head = http::WriteResponseHead(*front.response, keep_alive,
                                         front.is_head),
         .body = http::HasBody(*front.response, front.is_head) ? front.response
                                                               : nullptr});
    this->pending.pop_front();
    if (!keep_alive) {
      this->closes_after_output = true;
      this->reading_stopped = true;
    }
  }
  this->Write();
}

void HttpConnection::Write() {
  if (!this->writing.empty() || this->output.empty() || this->closed) {
    return;
  }
  this->writing = std::exchange(this->output, {});
  this->SetDeadline(this->listener->GetOptions().write_timeout);
  std::vector<asio::const_buffer> buffers;
  for (const auto& [head, body] : this->writing) {
    buffers.push_back(asio::buffer(head));
    if (body) {
      buffers.push_back(asio::buffer(body->body));
    }
  }
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this()](
                        const std::error_code& error, std::size_t /*count*/) {
                      self->OnWritten(error);
                    });
}

void HttpConnection::OnWritten(const std::error_code& error) {
  if (this->closed) {
    return;
  }
  this->writing = {};
  if (error) {
    this->Close();
    return;
  }
  this->SetDeadline(this->listener->GetOptions().idle_timeout);
  if (!this->output.empty()) {
    this->Write();
    return;
  }
  if (this->closes_after_output) {
    this->Linger();
  }
}

void HttpConnection::Linger() {
  // Closing a socket with unread data sends RST, and the caller may discard the
  // response. Shut down the sending side only and keep reading for a while.
  std::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->lingering = true;
  this->SetDeadline(kLingerTime);
  this->WaitForInput();
}

void HttpConnection::CloseWhenIdle() {
  if (this->IsIdle()) {
    this->Close();
  }
}

void HttpConnection::CheckDeadline(Instant now) {
  if (this->closed || now < this->deadline) {
    return;
  }
  if (!this->writing.empty() || this->lingering || this->IsIdle()) {
    this->Close();
    return;
  }
  if (this->pending.empty() && this->parser.HasStarted() &&
      !this->reading_stopped) {
    this->RejectWith(http_status::kRequestTimeout,
                     "the request did not come in time; send it faster");
  }
}

void HttpConnection::Detach() {
  this->listener = nullptr;
  this->closed = true;
  std::error_code ignored;
  this->socket.close(ignored);
}

void HttpConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  const auto self = this->shared_from_this();
  std::error_code ignored;
  this->socket.close(ignored);
  for (const auto& entry : std::exchange(this->pending, {})) {
    if (entry.call != 0 && !entry.response) {
      this->listener->ReportDisconnect(entry.call);
    }
  }
  this->listener->RemoveConnection(self);
}

}  // namespace agaterun::proxy
