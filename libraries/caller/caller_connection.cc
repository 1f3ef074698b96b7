#include "libraries/caller/caller_connection.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/base/log.h"
#include "libraries/caller/caller_listener.h"
#include "libraries/caller/request_headers.h"
#include "libraries/http/message_writer.h"

namespace agaterun::caller {

namespace {

constexpr std::size_t kReadSize = 16 * 1024;
// When a caller pipelines more than this, reading pauses until the next
// response is written. A disconnect is not detected before that.
constexpr std::size_t kMaxReadAheadBytes = 64 * 1024;
constexpr Duration kLingerTime = 1s;
constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

Instant Now() {
  return MonotonicClock().Now();
}

}  // namespace

CallerConnection::CallerConnection(std::shared_ptr<CallerListener> listener,
                                   Socket socket,
                                   bool counted)
    : listener(std::move(listener)),
      socket(std::move(socket)),
      counted(counted),
      parser(this->listener->GetOptions().limits) {}

void CallerConnection::Start() {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    self->SetDeadline(self->listener->GetOptions().idle_timeout);
    // A StopAccepting during the accept may have missed this connection.
    if (self->listener->IsStopping()) {
      self->Stop();
    }
    self->WaitForInput();
  });
}

void CallerConnection::Refuse(HttpResponse response) {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                           response = std::move(response)]() {
    self->Write(response, false);
    self->WaitForInput();
  });
}

void CallerConnection::Answer(HttpResponse response) {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this(),
                                           response = std::move(response)]() {
    self->call.reset();
    const bool keep =
        self->keep_alive && !self->input_ended && !self->listener->IsStopping();
    self->Write(response, keep);
  });
}

void CallerConnection::Stop() {
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    // A request that arrived but has not been read yet is served, since the
    // caller sent it before it could see the close.
    std::error_code error;
    if (!self->closed && self->IsIdle() && self->socket.available(error) == 0) {
      self->Linger();
    }
  });
}

void CallerConnection::Close() {
  asio::post(this->socket.get_executor(),
             [self = this->shared_from_this()] { self->CloseNow(); });
}

void CallerConnection::CheckDeadline(Instant now) {
  const Instant::rep due = this->deadline.load(std::memory_order_relaxed);
  if (due == 0 || now.count() < due) {
    return;
  }
  asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
    const Instant::rep due = self->deadline.load(std::memory_order_relaxed);
    if (due != 0 && Now().count() >= due) {
      self->Expire();
    }
  });
}

bool CallerConnection::IsIdle() const {
  return !this->call && !this->writing && !this->lingering &&
         !this->parser.HasStarted();
}

void CallerConnection::WaitForInput() {
  if (this->waiting_for_input || this->closed || this->input_ended ||
      this->read_ahead.size() >= kMaxReadAheadBytes) {
    return;
  }
  this->waiting_for_input = true;
  // Waits for readability without a buffer, so that idle connections use no
  // buffer memory.
  this->socket.async_wait(Socket::wait_read, [self = this->shared_from_this()](
                                                 const std::error_code& error) {
    self->waiting_for_input = false;
    if (!error && !self->closed) {
      self->OnReadable();
    }
  });
}

void CallerConnection::OnReadable() {
  std::array<char, kReadSize> buffer;
  std::error_code error;
  const std::size_t count = this->socket.read_some(asio::buffer(buffer), error);
  if (error == asio::error::would_block || error == asio::error::try_again) {
    this->WaitForInput();
    return;
  }
  if (error == asio::error::eof) {
    this->OnInputEnded();
    return;
  }
  if (error) {
    if (this->call) {
      this->listener->AbandonCall(*this->call);
    }
    this->CloseNow();
    return;
  }
  this->OnBytes(std::string_view(buffer.data(), count));
  this->WaitForInput();
}

void CallerConnection::OnBytes(std::string_view bytes) {
  if (this->lingering) {
    return;
  }
  if (this->call || this->writing) {
    this->read_ahead.append(bytes);
    return;
  }
  this->Parse(bytes);
}

void CallerConnection::OnInputEnded() {
  this->input_ended = true;
  if (this->call && !this->listener->AbandonCall(*this->call)) {
    return;  // The response was posted here; it closes the connection.
  }
  if (!this->writing || this->lingering) {
    this->CloseNow();
  }
}

void CallerConnection::Parse(std::string_view bytes) {
  const bool started = this->parser.HasStarted();
  const auto used = this->parser.Feed(bytes);
  if (!used) {
    if (used.error().kind != ErrorKind::kLimitReached) {
      this->Reject(400, decision::Reason::kMalformed, used.error().message);
    } else {
      this->Reject(this->parser.HeadIsDone() ? 413 : 431,
                   decision::Reason::kLimitReached, used.error().message);
    }
    return;
  }
  if (!this->parser.IsDone()) {
    if (!started && this->parser.HasStarted()) {
      this->SetDeadline(this->listener->GetOptions().header_timeout);
    }
    if (this->parser.ExpectsContinue() && !this->continue_sent) {
      this->SendContinue();
    }
    return;
  }
  this->read_ahead.assign(bytes.substr(*used));
  this->continue_sent = false;
  this->SetDeadline(Duration::zero());
  HttpRequest request = this->parser.Take(this->keep_alive);
  this->head_method = request.method == "HEAD";
  this->call =
      this->listener->BeginCall(this->shared_from_this(), std::move(request));
}

void CallerConnection::SendContinue() {
  // The interim response is short enough for the empty send buffer. If it does
  // not fit, the caller sends the body after a timeout of its own (RFC 9110,
  // section 10.1.1).
  this->continue_sent = true;
  std::error_code error;
  this->socket.write_some(asio::buffer(kContinue), error);
}

void CallerConnection::Reject(int status,
                              decision::Reason reason,
                              const std::string& message) {
  std::error_code error;
  const auto remote = this->socket.remote_endpoint(error);
  Log(LogEvent::kRequestRejected,
      {{"caller", error ? "" : remote.address().to_string()},
       {"status", std::to_string(status)},
       {"message", message}});
  this->Write(WriteRejection(status, reason, message), false);
}

void CallerConnection::Write(const HttpResponse& response, bool keep) {
  if (this->closed) {
    return;
  }
  this->output = http::WriteResponse(response, keep, this->head_method);
  this->writing = true;
  // Without a deadline, a caller that does not read its response would occupy
  // the connection forever.
  this->SetDeadline(this->listener->GetOptions().idle_timeout);
  asio::async_write(this->socket, asio::buffer(this->output),
                    [self = this->shared_from_this(), keep](
                        const std::error_code& error, std::size_t) {
                      if (error) {
                        self->CloseNow();
                      } else if (!self->closed) {
                        self->OnWritten(keep);
                      }
                    });
}

void CallerConnection::OnWritten(bool keep) {
  this->writing = false;
  std::string().swap(this->output);
  if (!keep) {
    this->Linger();
    return;
  }
  this->SetDeadline(this->listener->GetOptions().idle_timeout);
  std::string pipelined;
  pipelined.swap(this->read_ahead);
  if (!pipelined.empty()) {
    this->Parse(pipelined);
  }
  if (this->input_ended && !this->call && !this->writing) {
    this->CloseNow();
    return;
  }
  if (this->listener->IsStopping()) {
    this->Stop();
  }
  this->WaitForInput();
}

void CallerConnection::Linger() {
  if (this->input_ended) {
    this->CloseNow();
    return;
  }
  this->lingering = true;
  std::string().swap(this->read_ahead);
  std::error_code ignored;
  this->socket.shutdown(Socket::shutdown_send, ignored);
  this->SetDeadline(kLingerTime);
  this->WaitForInput();
}

void CallerConnection::Expire() {
  if (this->closed) {
    return;
  }
  if (this->lingering || this->writing) {
    this->CloseNow();
  } else if (this->parser.HasStarted()) {
    this->Reject(408, decision::Reason::kDeadlineExceeded,
                 "the request did not come in whole in time; send it at once");
  } else if (!this->call) {
    this->Linger();
  }
}

void CallerConnection::CloseNow() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->SetDeadline(Duration::zero());
  std::error_code ignored;
  this->socket.close(ignored);
  this->listener->RemoveConnection(this->shared_from_this());
}

void CallerConnection::SetDeadline(Duration from_now) {
  const Instant::rep due =
      from_now == Duration::zero() ? 0 : (Now() + from_now).count();
  this->deadline.store(due, std::memory_order_relaxed);
}

}  // namespace agaterun::caller
