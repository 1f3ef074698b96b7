// Closing of connections: on request, after draining, and on timeout.
#include <asio/post.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/node/connection.h"
#include "libraries/node/frame_messages.h"

namespace agaterun::node {

void Connection::RequestClose(CloseCause cause, std::string reason) {
  this->is_usable = false;
  asio::post(this->strand,
             [self = this->shared_from_this(), cause,
              reason = std::move(reason)] { self->Close(cause, reason); });
}

void Connection::RequestDrain() {
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->Drain(); });
}

// If the accepting side closed the socket, visits in transit would be lost and
// their origins could not tell whether they ran. So it only sends a closing
// frame, and serves visits until the opening side closes.
void Connection::Drain() {
  if (this->state == State::kClosed) {
    return;
  }
  if (this->state == State::kConnecting || !this->has_peer) {
    this->Close(CloseCause::kStopped, "stopped");
    return;
  }
  this->state = State::kDraining;
  this->deadline =
      (MonotonicClock().Now() + this->options.connect_timeout).count();
  if (this->is_outgoing) {
    this->is_usable = false;
    this->CloseIfDrained();
  } else {
    this->Send(EncodeClosing());
  }
}

void Connection::CloseAfterVisits() {
  if (this->state != State::kOpen) {
    return;
  }
  this->is_usable = false;
  this->state = State::kDraining;
  this->deadline = kNever;
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->CloseIfDrained(); });
}

void Connection::CloseIfDrained() {
  if (this->is_outgoing && this->state == State::kDraining &&
      this->visits.empty() && this->send_queue.empty() && !this->is_writing) {
    this->Close(CloseCause::kStopped, "stopped");
  }
}

void Connection::Close(CloseCause cause, const std::string& reason) {
  if (this->state == State::kClosed) {
    return;
  }
  this->close_cause =
      this->state == State::kDraining ? CloseCause::kStopped : cause;
  this->close_reason = reason;
  this->state = State::kClosed;
  this->is_usable = false;
  this->deadline = kNever;
  this->remote_name = NodeAddress{.ip = this->RemoteIp()}.IpToString();
  std::error_code ignored;
  this->socket.close(ignored);
  // A write in progress first has to report how many bytes were written.
  if (!this->is_writing) {
    this->FinishClose();
  }
}

void Connection::FinishClose() {
  for (const auto& frame : this->send_queue) {
    this->queued_bytes -= frame.bytes.size();
  }
  this->send_queue = {};
  this->owner->OnClosed(*this, this->close_cause, this->close_reason);
  for (const auto& [attempt, sent] : std::exchange(this->visits, {})) {
    this->owner->OnVisitLost(attempt, sent);
  }
}

void Connection::CheckDeadline(Instant now) {
  if (now.count() < this->deadline.load()) {
    return;
  }
  asio::post(this->strand, [self = this->shared_from_this(), now] {
    if (now.count() < self->deadline.load()) {
      return;
    }
    if (self->state == State::kOpen && self->has_peer) {
      if (!self->visits.empty()) {
        self->ExtendIdleDeadline();
        return;
      }
      self->Close(CloseCause::kIdle, "idle");
      return;
    }
    self->Close(CloseCause::kLost, self->state == State::kConnecting
                                       ? "connect timed out"
                                       : "no progress before the deadline");
  });
}

}  // namespace agaterun::node
