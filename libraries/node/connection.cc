#include "libraries/node/connection.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/node/socket_options.h"

namespace agaterun::node {

namespace {

using asio::ip::tcp;

constexpr std::size_t kReadBufferBytes = 64 * 1024;
constexpr int kMaxReadsPerWakeup = 16;
// Visits in flight on one connection. A peer that accepts visits but never
// replies is disconnected beyond this number.
constexpr std::size_t kMaxVisitsInFlight = 64 * 1024;
// Empty containers with a larger capacity release their memory.
constexpr std::size_t kMaxIdleFrameCapacity = 16;
constexpr std::size_t kMaxIdleBuckets = 64;

Instant Now() {
  return MonotonicClock().Now();
}

}  // namespace

Connection::Connection(Strand strand,
                       tcp::socket socket,
                       Options options,
                       std::shared_ptr<ConnectionOwner> owner)
    : options(options),
      owner(std::move(owner)),
      strand(std::move(strand)),
      socket(std::move(socket)),
      reader(options.max_frame_bytes),
      deadline((Now() + options.connect_timeout).count()) {}

void Connection::Connect(std::uint32_t self_ip, NodeAddress peer) {
  this->is_outgoing = true;
  this->SetPeer(peer, 0);
  asio::post(this->strand, [self = this->shared_from_this(), self_ip] {
    self->StartConnect(self_ip);
  });
}

void Connection::StartConnect(std::uint32_t self_ip) {
  if (this->state != State::kConnecting) {
    return;
  }
  if (const auto error = OpenBound(this->socket, self_ip); error) {
    this->Close(CloseCause::kLost, error.message());
    return;
  }
  const tcp::endpoint target(asio::ip::address_v4(this->peer.ip),
                             this->peer.port);
  this->socket.async_connect(
      target, [self = this->shared_from_this()](const std::error_code& result) {
        self->FinishConnect(result);
      });
}

void Connection::FinishConnect(const std::error_code& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    this->Close(CloseCause::kLost, error.message());
    return;
  }
  ConfigureForFrames(this->socket);
  this->state = State::kOpen;
  this->ExtendIdleDeadline();
  this->owner->OnConnected(*this);
  this->StartRead();
  this->StartWrite();
}

void Connection::StartAccepted() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    if (self->state == State::kConnecting) {
      ConfigureForFrames(self->socket);
      // The connect deadline stays in force until the greeting is received.
      self->state = State::kOpen;
      self->StartRead();
    }
  });
}

void Connection::StartRead() {
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](const std::error_code& error) {
        self->OnReadable(error);
      });
}

void Connection::OnReadable(const std::error_code& error) {
  if (this->state == State::kClosed) {
    return;
  }
  if (error) {
    this->Close(CloseCause::kLost, error.message());
    return;
  }
  bool is_socket_empty = false;
  for (int round = 0; round < kMaxReadsPerWakeup && !is_socket_empty; ++round) {
    if (!this->ReadOnce(is_socket_empty)) {
      return;
    }
  }
  this->StartRead();
}

// A waiting connection holds no read buffer: data is read into a buffer that
// all connections of a thread share, and only an incomplete frame is kept.
bool Connection::ReadOnce(bool& is_socket_empty) {
  thread_local std::vector<char> read_buffer(kReadBufferBytes);
  std::error_code error;
  const auto bytes = this->socket.read_some(asio::buffer(read_buffer), error);
  if (error == asio::error::would_block) {
    is_socket_empty = true;
    return true;
  }
  if (error) {
    if (error == asio::error::eof && this->reader.IsInsideFrame()) {
      this->Close(CloseCause::kRejected,
                  "the connection was closed inside a frame; check the log of "
                  "the peer for the cause");
    } else if (error == asio::error::eof) {
      this->Close(CloseCause::kPeerClosed, "the peer closed the connection");
    } else {
      this->Close(CloseCause::kLost, error.message());
    }
    return false;
  }
  is_socket_empty = bytes < read_buffer.size();
  this->owner->CountReceived(bytes);
  const auto feed_result = this->reader.Feed(
      std::string_view(read_buffer.data(), bytes),
      [this](const FrameHeader& header, std::string_view payload) {
        return this->owner->OnFrame(*this, header, payload);
      });
  if (!feed_result) {
    this->Close(feed_result.error().kind == ErrorKind::kMalformedFrame
                    ? CloseCause::kRejected
                    : CloseCause::kRefused,
                feed_result.error().message);
    return false;
  }
  if (this->has_peer) {
    this->ExtendIdleDeadline();
  }
  return this->state != State::kClosed;
}

void Connection::Send(OutgoingFrame frame) {
  const auto size = frame.bytes.size();
  frame.queued_at = Now();
  const bool fits = this->queued_bytes.fetch_add(size) + size <=
                    this->options.max_unsent_bytes;
  // Losses are reported from the strand, never while the caller is in Send().
  asio::post(this->strand, [self = this->shared_from_this(), fits,
                            frame = std::move(frame)]() mutable {
    if (fits) {
      self->Enqueue(std::move(frame));
    } else {
      self->RejectForFullQueue(frame);
    }
  });
}

void Connection::RejectForFullQueue(const OutgoingFrame& frame) {
  this->queued_bytes -= frame.bytes.size();
  if (frame.attempt) {
    this->owner->OnVisitLost(*frame.attempt, false);
    return;
  }
  // No caller waits for other kinds of frames. Closing the connection lets the
  // peer detect the loss.
  this->Close(CloseCause::kLost,
              "the send queue is full because the peer does not read");
}

void Connection::Enqueue(OutgoingFrame frame) {
  if (this->state == State::kClosed) {
    this->queued_bytes -= frame.bytes.size();
    if (frame.attempt) {
      this->owner->OnVisitLost(*frame.attempt, false);
    }
    return;
  }
  if (frame.attempt) {
    this->visits.emplace(*frame.attempt, false);
  }
  this->send_queue.push_back(std::move(frame));
  if (this->visits.size() > kMaxVisitsInFlight) {
    this->Close(CloseCause::kLost,
                "too many visits in flight; the peer sends no replies");
    return;
  }
  this->StartWrite();
}

void Connection::StartWrite() {
  if (this->is_writing || this->send_queue.empty() ||
      this->state == State::kConnecting || this->state == State::kClosed) {
    return;
  }
  // Frames queued during the previous write are sent in a single write.
  this->frames_in_write.swap(this->send_queue);
  const auto now = Now();
  const auto digest = this->owner->StateDigest();
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(this->frames_in_write.size());
  for (auto& frame : this->frames_in_write) {
    frame.Seal(now - frame.queued_at, digest);
    buffers.emplace_back(frame.bytes.data(), frame.bytes.size());
  }
  this->is_writing = true;
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this()](
                        const std::error_code& error, std::size_t bytes) {
                      self->OnWritten(error, bytes);
                    });
}

void Connection::MarkWritten(std::size_t bytes) {
  std::size_t offset = 0;
  for (const auto& frame : this->frames_in_write) {
    if (frame.attempt && offset < bytes) {
      if (const auto visit = this->visits.find(*frame.attempt);
          visit != this->visits.end()) {
        visit->second = true;
      }
    }
    offset += frame.bytes.size();
  }
  this->queued_bytes -= offset;
  this->frames_in_write.clear();
  if (this->frames_in_write.capacity() > kMaxIdleFrameCapacity) {
    this->frames_in_write.shrink_to_fit();
  }
}

void Connection::OnWritten(const std::error_code& error, std::size_t bytes) {
  this->is_writing = false;
  this->owner->CountSent(bytes);
  this->MarkWritten(bytes);
  if (this->state == State::kClosed) {
    this->FinishClose();
    return;
  }
  if (error) {
    this->Close(CloseCause::kLost, error.message());
    return;
  }
  if (this->state == State::kOpen && this->has_peer) {
    this->ExtendIdleDeadline();
  }
  this->StartWrite();
  this->CloseIfDrained();
}

bool Connection::FinishVisit(const decision::AttemptId& attempt) {
  if (this->visits.erase(attempt) == 0) {
    return false;
  }
  if (this->visits.empty() && this->visits.bucket_count() > kMaxIdleBuckets) {
    this->visits = {};
  }
  if (this->state == State::kDraining) {
    // Posted, because the reply that ended the visit is still being read.
    asio::post(this->strand,
               [self = this->shared_from_this()] { self->CloseIfDrained(); });
  }
  return true;
}

void Connection::SetPeer(NodeAddress address, std::uint64_t incarnation) {
  this->peer = address;
  this->peer_incarnation = incarnation;
  this->has_peer = true;
}

std::uint32_t Connection::RemoteIp() const {
  std::error_code error;
  const auto remote = this->socket.remote_endpoint(error);
  return error ? 0 : remote.address().to_v4().to_uint();
}

std::string Connection::RemoteName() const {
  return this->has_peer ? this->peer.ToString() : this->remote_name;
}

void Connection::ExtendIdleDeadline() {
  if (this->state != State::kOpen) {
    return;
  }
  this->deadline = this->options.idle_timeout == Duration::zero()
                       ? kNever
                       : (Now() + this->options.idle_timeout).count();
}

}  // namespace agaterun::node
