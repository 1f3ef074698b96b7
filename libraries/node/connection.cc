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

constexpr std::size_t kScratchBytes = 64 * 1024;
constexpr int kReadsPerWakeup = 16;
// Visits in flight on one connection. A peer that accepts visits but never
// replies is disconnected beyond this number.
constexpr std::size_t kVisitsInFlight = 64 * 1024;
// Empty containers with a larger capacity release their memory.
constexpr std::size_t kKeptFrames = 16;
constexpr std::size_t kKeptBuckets = 64;

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
      reader(options.frame_bytes),
      deadline((Now() + options.connect_timeout).count()) {}

void Connection::Connect(std::uint32_t self_ip, NodeAddress peer) {
  this->outgoing = true;
  this->SetPeer(peer, 0);
  asio::post(this->strand, [self = this->shared_from_this(), self_ip] {
    self->StartConnect(self_ip);
  });
}

void Connection::StartConnect(std::uint32_t self_ip) {
  if (this->state != State::kConnecting) {
    return;
  }
  if (const auto error = OpenFrom(this->socket, self_ip); error) {
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
  PrepareForFrames(this->socket);
  this->state = State::kOpen;
  this->NoteActivity();
  this->owner->OnConnected(*this);
  this->StartRead();
  this->StartWrite();
}

void Connection::StartTaken() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    if (self->state == State::kConnecting) {
      PrepareForFrames(self->socket);
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
  bool drained = false;
  for (int round = 0; round < kReadsPerWakeup && !drained; ++round) {
    if (!this->ReadOnce(drained)) {
      return;
    }
  }
  this->StartRead();
}

// A waiting connection holds no read buffer: data is read into a buffer that
// all connections of a thread share, and only an incomplete frame is kept.
bool Connection::ReadOnce(bool& drained) {
  thread_local std::vector<char> scratch(kScratchBytes);
  std::error_code error;
  const auto bytes = this->socket.read_some(asio::buffer(scratch), error);
  if (error == asio::error::would_block) {
    drained = true;
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
  drained = bytes < scratch.size();
  this->owner->CountReceived(bytes);
  const auto fed = this->reader.Feed(
      std::string_view(scratch.data(), bytes),
      [this](const FrameHeader& header, std::string_view payload) {
        return this->owner->OnFrame(*this, header, payload);
      });
  if (!fed) {
    this->Close(fed.error().kind == ErrorKind::kMalformedFrame
                    ? CloseCause::kRejected
                    : CloseCause::kRefused,
                fed.error().message);
    return false;
  }
  if (this->has_peer) {
    this->NoteActivity();
  }
  return this->state != State::kClosed;
}

void Connection::Send(OutgoingFrame frame) {
  const auto size = frame.bytes.size();
  frame.queued_at = Now();
  const bool fits =
      this->unsent.fetch_add(size) + size <= this->options.unsent_bytes;
  // Losses are reported from the strand, never while the caller is in Send().
  asio::post(this->strand, [self = this->shared_from_this(), fits,
                            frame = std::move(frame)]() mutable {
    if (fits) {
      self->Enqueue(std::move(frame));
    } else {
      self->RefuseForSpace(frame);
    }
  });
}

void Connection::RefuseForSpace(const OutgoingFrame& frame) {
  this->unsent -= frame.bytes.size();
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
    this->unsent -= frame.bytes.size();
    if (frame.attempt) {
      this->owner->OnVisitLost(*frame.attempt, false);
    }
    return;
  }
  if (frame.attempt) {
    this->visits.emplace(*frame.attempt, false);
  }
  this->waiting.push_back(std::move(frame));
  if (this->visits.size() > kVisitsInFlight) {
    this->Close(CloseCause::kLost,
                "too many visits in flight; the peer sends no replies");
    return;
  }
  this->StartWrite();
}

void Connection::StartWrite() {
  if (this->write_running || this->waiting.empty() ||
      this->state == State::kConnecting || this->state == State::kClosed) {
    return;
  }
  // Frames queued during the previous write are sent in a single write.
  this->writing.swap(this->waiting);
  const auto now = Now();
  const auto digest = this->owner->StateDigest();
  std::vector<asio::const_buffer> buffers;
  buffers.reserve(this->writing.size());
  for (auto& frame : this->writing) {
    frame.Seal(now - frame.queued_at, digest);
    buffers.emplace_back(frame.bytes.data(), frame.bytes.size());
  }
  this->write_running = true;
  asio::async_write(this->socket, buffers,
                    [self = this->shared_from_this()](
                        const std::error_code& error, std::size_t bytes) {
                      self->OnWritten(error, bytes);
                    });
}

void Connection::MarkWritten(std::size_t bytes) {
  std::size_t offset = 0;
  for (const auto& frame : this->writing) {
    if (frame.attempt && offset < bytes) {
      if (const auto visit = this->visits.find(*frame.attempt);
          visit != this->visits.end()) {
        visit->second = true;
      }
    }
    offset += frame.bytes.size();
  }
  this->unsent -= offset;
  this->writing.clear();
  if (this->writing.capacity() > kKeptFrames) {
    this->writing.shrink_to_fit();
  }
}

void Connection::OnWritten(const std::error_code& error, std::size_t bytes) {
  this->write_running = false;
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
    this->NoteActivity();
  }
  this->StartWrite();
  this->CloseIfDone();
}

bool Connection::FinishVisit(const decision::AttemptId& attempt) {
  if (this->visits.erase(attempt) == 0) {
    return false;
  }
  if (this->visits.empty() && this->visits.bucket_count() > kKeptBuckets) {
    this->visits = {};
  }
  if (this->state == State::kDraining) {
    // Posted, because the reply that ended the visit is still being read.
    asio::post(this->strand,
               [self = this->shared_from_this()] { self->CloseIfDone(); });
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

void Connection::NoteActivity() {
  if (this->state != State::kOpen) {
    return;
  }
  this->deadline = this->options.idle_timeout == Duration::zero()
                       ? kNever
                       : (Now() + this->options.idle_timeout).count();
}

}  // namespace agaterun::node
