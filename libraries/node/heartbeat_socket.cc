#include "libraries/node/heartbeat_socket.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "libraries/node/frame_messages.h"

namespace agaterun::node {

namespace {

using asio::ip::udp;

// Encoded size of one quarantined fingerprint.
constexpr std::size_t kQuarantinedEntryBytes = 16;
// Encoded size of a heartbeat without quarantined fingerprints.
constexpr std::size_t kFixedBytes = 64 + FrameHeader::kBytes;
constexpr std::size_t kMaxQuarantined =
    (HeartbeatSocket::kDatagramBytes - kFixedBytes) / kQuarantinedEntryBytes;

NodeAddress ToNodeAddress(const udp::endpoint& endpoint) {
  return {.ip = endpoint.address().to_v4().to_uint(), .port = endpoint.port()};
}

udp::endpoint ToEndpoint(NodeAddress address) {
  return {asio::ip::address_v4(address.ip), address.port};
}

// Removes the last entry of the last aggregate. Returns false if there is none.
bool DropLastRates(std::vector<decision::AggregateDemand>& aggregates) {
  if (aggregates.empty()) {
    return false;
  }
  auto& rates = aggregates.back().rates;
  if (rates.empty()) {
    aggregates.pop_back();
  } else {
    rates.pop_back();
  }
  return true;
}

template <class Entry>
bool DropLast(std::vector<Entry>& entries) {
  if (entries.empty()) {
    return false;
  }
  entries.pop_back();
  return true;
}

// Drops entries that do not fit into one datagram, crashes and the last
// accounts and routes first: later heartbeats repeat them, while the sender's
// own state must arrive.
OutgoingFrame EncodeWithinDatagram(decision::Heartbeat heartbeat) {
  heartbeat.quarantined.resize(
      std::min(heartbeat.quarantined.size(), kMaxQuarantined));
  auto frame = EncodeHeartbeat(heartbeat);
  while (frame.bytes.size() > HeartbeatSocket::kDatagramBytes) {
    const bool is_smaller = DropLast(heartbeat.crashes) ||
                            DropLast(heartbeat.account_use) ||
                            DropLastRates(heartbeat.account_aggregates) ||
                            DropLast(heartbeat.demand) ||
                            DropLastRates(heartbeat.demand_aggregates) ||
                            DropLast(heartbeat.quarantined);
    if (!is_smaller) {
      break;
    }
    frame = EncodeHeartbeat(heartbeat);
  }
  return frame;
}

}  // namespace

HeartbeatSocket::HeartbeatSocket(asio::io_context& io)
    : strand(asio::make_strand(io)), socket(this->strand) {}

Result<void> HeartbeatSocket::Open(NodeAddress self) {
  std::error_code error;
  this->socket.open(udp::v4(), error);
  if (!error) {
    this->socket.bind(ToEndpoint(self), error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  if (error) {
    return MakeError(ErrorKind::kConnectionFailed,
                     "can't receive heartbeats on " + self.ToString() + ": " +
                         error.message() +
                         "; free the UDP port or change the node's address");
  }
  return {};
}

void HeartbeatSocket::Start(std::weak_ptr<HeartbeatSocketOwner> owner) {
  asio::post(this->strand, [self = this->shared_from_this(),
                            owner = std::move(owner)]() mutable {
    self->owner = std::move(owner);
    self->Receive();
  });
}

void HeartbeatSocket::Receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->sender,
      [self = this->shared_from_this()](const std::error_code& error,
                                        std::size_t bytes) {
        if (error == asio::error::operation_aborted ||
            !self->socket.is_open()) {
          return;
        }
        if (!error) {
          self->OnReceived(bytes);
        }
        self->Receive();
      });
}

void HeartbeatSocket::OnReceived(std::size_t bytes) {
  const auto receiver = this->owner.lock();
  if (receiver == nullptr) {
    return;
  }
  receiver->CountDatagramReceived(bytes);
  auto heartbeat = this->Read(std::string_view(this->buffer.data(), bytes));
  if (!heartbeat) {
    receiver->OnDatagramRejected(ToNodeAddress(this->sender).ToString(),
                                 heartbeat.error().message);
    return;
  }
  receiver->OnHeartbeatReceived(std::move(*heartbeat));
}

Result<decision::Heartbeat> HeartbeatSocket::Read(
    std::string_view datagram) const {
  const auto malformed = [](const char* message) {
    return MakeError(ErrorKind::kMalformedFrame, message);
  };
  if (datagram.size() < FrameHeader::kBytes) {
    return malformed(
        "the datagram is shorter than a frame header; let only nodes send to "
        "the node port");
  }
  const auto header = ParseFrameHeader(datagram, kDatagramBytes);
  if (!header) {
    return tl::unexpected(header.error());
  }
  if (header->payload_bytes != datagram.size() - FrameHeader::kBytes ||
      !IsFrameIntact(datagram)) {
    return malformed(
        "the length or checksum of the datagram does not match; look for a "
        "fault on the network between the two hosts");
  }
  if (header->kind != FrameKind::kHeartbeat) {
    return malformed(
        "the datagram is not a heartbeat; run the same release on all hosts");
  }
  auto heartbeat = DecodeHeartbeat(datagram.substr(FrameHeader::kBytes));
  if (heartbeat && heartbeat->from != ToNodeAddress(this->sender)) {
    return malformed(
        "the sender in the heartbeat is not the address that it came from; "
        "give each node its own address");
  }
  return heartbeat;
}

void HeartbeatSocket::Send(NodeAddress to, decision::Heartbeat heartbeat) {
  const auto digest = heartbeat.state_digest;
  auto frame = EncodeWithinDatagram(std::move(heartbeat));
  frame.Seal(Duration::zero(), digest);
  asio::post(this->strand, [self = this->shared_from_this(), to,
                            bytes = std::move(frame.bytes)] {
    // The datagram is dropped when the socket buffer is full. Heartbeats
    // tolerate loss.
    std::error_code error;
    self->socket.send_to(asio::buffer(bytes), ToEndpoint(to), 0, error);
    if (const auto owner = self->owner.lock(); owner != nullptr && !error) {
      owner->CountDatagramSent(to, bytes.size());
    }
  });
}

void HeartbeatSocket::RequestClose() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    std::error_code ignored;
    self->socket.close(ignored);
  });
}

}  // namespace agaterun::node
