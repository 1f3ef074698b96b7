// Handling of received frames and datagrams, and sending of frames.
#include <algorithm>
#include <asio/post.hpp>
#include <utility>

#include "libraries/node/frame_messages.h"
#include "libraries/node/node_links_implementation.h"

namespace agaterun::node {

namespace {

tl::unexpected<Error> UnexpectedFrame(FrameKind kind) {
  return MakeError(
      ErrorKind::kMalformedFrame,
      std::string(NameOf(kFrameKindNames, kind)) +
          " frame is not expected here; run the same release on all hosts");
}

// Ticket items are batched into frames of up to the maximum payload divided by
// this.
constexpr std::size_t kTicketItemsFrameDivisor = 2;

// Replies up to this size are bounded by the send queue of their peer alone.
constexpr std::size_t kShortFrameBytes = 64 * 1024;

}  // namespace

Result<void> NodeLinks::Implementation::OnFrame(Connection& connection,
                                                const FrameHeader& header,
                                                std::string_view payload) {
  if (!connection.HasPeer()) {
    return this->HandleGreeting(connection, header, payload);
  }
  this->ReportDigestChange(connection, header.state_digest);
  return connection.IsOutgoing()
             ? this->HandleFrameFromGate(connection, header, payload)
             : this->HandleFrameFromOrigin(connection, header, payload);
}

Result<void> NodeLinks::Implementation::HandleFrameFromGate(
    Connection& connection,
    const FrameHeader& header,
    std::string_view payload) {
  if (header.kind == FrameKind::kReply) {
    return this->HandleReply(connection, payload);
  }
  if (header.kind == FrameKind::kClosing && payload.empty()) {
    connection.CloseAfterVisits();
    return {};
  }
  return UnexpectedFrame(header.kind);
}

Result<void> NodeLinks::Implementation::HandleFrameFromOrigin(
    Connection& connection,
    const FrameHeader& header,
    std::string_view payload) {
  switch (header.kind) {
    case FrameKind::kVisit:
      return this->HandleVisit(connection, header, payload);
    case FrameKind::kCancel:
      return this->HandleCancel(connection, payload);
    case FrameKind::kTicketItems:
      return this->HandleTicketItems(connection, payload);
    case FrameKind::kTicketItemsWanted:
      return this->HandleTicketItemsRequest(connection, payload);
    case FrameKind::kGreeting:
    case FrameKind::kReply:
    case FrameKind::kHeartbeat:
    case FrameKind::kClosing:
      break;
  }
  return UnexpectedFrame(header.kind);
}

Result<void> NodeLinks::Implementation::HandleGreeting(
    Connection& connection,
    const FrameHeader& header,
    std::string_view payload) {
  if (header.kind != FrameKind::kGreeting) {
    return UnexpectedFrame(header.kind);
  }
  const auto greeting = DecodeGreeting(payload);
  if (!greeting) {
    return tl::unexpected(greeting.error());
  }
  const auto from = greeting->from;
  if (from.ip != connection.RemoteIp() || from.port == 0) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the greeting names " + from.ToString() +
                         " but the connection comes from another IP; set the "
                         "node's address to the IP of its host");
  }
  if (from != this->options.self && !this->IsAllowed(from)) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "no ticket or host list contains " + from.ToString() +
                         "; issue a ticket that does, or stop its process");
  }
  connection.SetPeer(from, greeting->incarnation);
  const auto previous =
      this->incoming.Replace(from, connection.shared_from_this());
  if (previous != nullptr) {
    // A peer opens a new connection only after it abandoned the previous one.
    previous->RequestClose(CloseCause::kStopped, "replaced");
  }
  this->log.LogConnected(from, false);
  this->ReportDigestChange(connection, header.state_digest);
  return {};
}

Result<void> NodeLinks::Implementation::HandleVisit(Connection& connection,
                                                    const FrameHeader& header,
                                                    std::string_view payload) {
  auto message = DecodeVisit(payload);
  if (!message) {
    return tl::unexpected(message.error());
  }
  auto& visit = message->visit;
  if (visit.attempt.origin != connection.Peer() ||
      visit.attempt.incarnation != connection.PeerIncarnation()) {
    return MakeError(ErrorKind::kMalformedFrame,
                     "the origin in a visit is not the peer that sent it; give "
                     "each node its own address");
  }
  // The time in the sender's queue counts towards the deadline.
  visit.remaining =
      std::max(Duration::zero(), visit.remaining - Duration(header.queued));
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnVisit(connection.Peer(), std::move(visit),
                           std::move(message->request));
  }
  return {};
}

Result<void> NodeLinks::Implementation::HandleCancel(
    const Connection& connection,
    std::string_view payload) {
  const auto attempt = DecodeCancel(payload);
  if (!attempt) {
    return tl::unexpected(attempt.error());
  }
  if (attempt->origin != connection.Peer() ||
      attempt->incarnation != connection.PeerIncarnation()) {
    return MakeError(ErrorKind::kMalformedFrame,
                     "the origin in a cancellation is not the peer that sent "
                     "it; give each node its own address");
  }
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnVisitCancelled(*attempt);
  }
  return {};
}

Result<void> NodeLinks::Implementation::HandleReply(Connection& connection,
                                                    std::string_view payload) {
  auto message = DecodeReply(payload);
  if (!message) {
    return tl::unexpected(message.error());
  }
  // A reply is valid only on the connection that carried its visit. Replies
  // from another gate, for an earlier connection, or duplicates match no visit
  // and are dropped.
  if (!connection.FinishVisit(message->reply.attempt)) {
    ++this->replies_dropped;
    return {};
  }
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnReply(std::move(message->reply),
                           std::move(message->response));
  }
  return {};
}

Result<void> NodeLinks::Implementation::HandleTicketItems(
    const Connection& connection,
    std::string_view payload) {
  auto items = DecodeTicketItems(payload);
  if (!items) {
    return tl::unexpected(items.error());
  }
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnTicketItems(connection.Peer(), std::move(*items));
  }
  return {};
}

Result<void> NodeLinks::Implementation::HandleTicketItemsRequest(
    const Connection& connection,
    std::string_view payload) {
  auto known_versions = DecodeTicketItemsWanted(payload);
  if (!known_versions) {
    return tl::unexpected(known_versions.error());
  }
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnTicketItemsRequested(connection.Peer(),
                                          std::move(*known_versions));
  }
  return {};
}

// Most frames repeat the digest of the previous frame, so only changes are
// reported.
void NodeLinks::Implementation::ReportDigestChange(Connection& connection,
                                                   std::uint64_t digest) {
  if (digest == 0 || digest == connection.peer_digest) {
    return;
  }
  connection.peer_digest = digest;
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnDigestReceived(connection.Peer(), digest);
  }
}

void NodeLinks::Implementation::OnHeartbeatReceived(
    decision::Heartbeat heartbeat) {
  if (!this->IsAllowed(heartbeat.from)) {
    ++this->peers_refused;
    this->log.LogRejected(LogEvent::kPeerRefused, heartbeat.from.ToString(),
                          "no ticket or host list contains this node; issue a "
                          "ticket that does, or stop its process");
    return;
  }
  ++this->heartbeats_received;
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnHeartbeat(std::move(heartbeat));
  }
}

void NodeLinks::Implementation::OnDatagramRejected(const std::string& sender,
                                                   const std::string& reason) {
  ++this->frames_rejected;
  this->log.LogRejected(LogEvent::kFrameRejected, sender, reason);
}

void NodeLinks::Implementation::CountDatagramSent(NodeAddress to,
                                                  std::size_t bytes) {
  this->bytes_sent += bytes;
  ++this->heartbeats_sent;
  this->sent.Add(to, FrameKind::kHeartbeat, bytes);
}

void NodeLinks::Implementation::CountDatagramReceived(std::size_t bytes) {
  this->bytes_received += bytes;
}

void NodeLinks::Implementation::SendOn(Connection& connection,
                                       NodeAddress to,
                                       OutgoingFrame frame) {
  this->sent.Add(to, frame.kind, frame.bytes.size());
  connection.Send(std::move(frame));
}

bool NodeLinks::Implementation::IsWithinFrame(const OutgoingFrame& frame,
                                              NodeAddress to) {
  if (frame.bytes.size() - FrameHeader::kBytes <=
      this->options.max_frame_bytes) {
    return true;
  }
  ++this->frames_rejected;
  this->log.LogRejected(
      LogEvent::kFrameRejected, to.ToString(),
      std::string(NameOf(kFrameKindNames, frame.kind)) +
          " frame exceeds the frame limit and was not sent; "
          "lower the limits on bodies or raise the frame limit");
  return false;
}

bool NodeLinks::Implementation::HasRoomToQueue(
    const OutgoingFrame& frame) const {
  return frame.bytes.size() <= kShortFrameBytes ||
         this->QueuedBytes() + frame.bytes.size() <=
             this->options.max_unsent_response_bytes;
}

void NodeLinks::Implementation::ReportUnsentVisit(
    const decision::AttemptId& attempt) {
  asio::post(this->io, [self = this->shared_from_this(), attempt] {
    self->OnVisitLost(attempt, false);
  });
}

void NodeLinks::Implementation::SendVisit(NodeAddress to,
                                          const decision::VisitRequest& visit,
                                          const HttpRequest& request) {
  auto frame = EncodeVisit(visit, request);
  const auto connection =
      this->IsWithinFrame(frame, to) ? this->FindOrCreateOutgoing(to) : nullptr;
  if (connection == nullptr) {
    this->ReportUnsentVisit(visit.attempt);
    return;
  }
  this->SendOn(*connection, to, std::move(frame));
}

void NodeLinks::Implementation::SendReply(NodeAddress to,
                                          const decision::VisitReply& reply,
                                          const decision::Answer& response) {
  const auto connection = this->incoming.Find(to);
  if (connection == nullptr) {
    ++this->replies_dropped;
    return;
  }
  auto frame = EncodeReply(reply, response);
  if (!this->IsWithinFrame(frame, to) || !this->HasRoomToQueue(frame)) {
    // The request ran, but its response is too large to send. The origin gets
    // the outcome kUnknown, so that it does not wait until its timeout.
    auto reply_without_response = reply;
    reply_without_response.outcome = decision::Outcome::kUnknown;
    reply_without_response.reason = decision::Reason::kLimitReached;
    frame = EncodeReply(reply_without_response, nullptr);
  }
  this->SendOn(*connection, to, std::move(frame));
}

void NodeLinks::Implementation::SendWithoutReply(NodeAddress to,
                                                 OutgoingFrame frame) {
  if (!this->IsWithinFrame(frame, to)) {
    return;
  }
  if (const auto connection = this->FindOrCreateOutgoing(to);
      connection != nullptr) {
    this->SendOn(*connection, to, std::move(frame));
  }
}

void NodeLinks::Implementation::SendTicketItems(
    NodeAddress to,
    const std::vector<decision::TicketItemText>& items) {
  const auto max_batch_bytes =
      this->options.max_frame_bytes / kTicketItemsFrameDivisor;
  std::vector<decision::TicketItemText> batch;
  std::size_t batch_bytes = 0;
  for (const auto& item : items) {
    const auto bytes = item.name.size() + item.text.size();
    if (!batch.empty() && batch_bytes + bytes > max_batch_bytes) {
      this->SendWithoutReply(to, EncodeTicketItems(batch));
      batch.clear();
      batch_bytes = 0;
    }
    batch.push_back(item);
    batch_bytes += bytes;
  }
  // Also sent without items: an empty message reports that none are newer.
  this->SendWithoutReply(to, EncodeTicketItems(batch));
}

void NodeLinks::Implementation::SendHeartbeat(
    NodeAddress to,
    const decision::Heartbeat& heartbeat) {
  this->heartbeats->Send(to, heartbeat);
}

}  // namespace agaterun::node
