#ifndef LIBRARIES_NODE_NODE_LINKS_IMPLEMENTATION_H_
#define LIBRARIES_NODE_NODE_LINKS_IMPLEMENTATION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "libraries/node/connection.h"
#include "libraries/node/connection_table.h"
#include "libraries/node/heartbeat_socket.h"
#include "libraries/node/link_log.h"
#include "libraries/node/node_links.h"
#include "libraries/node/observer_guard.h"

namespace agaterun::node {

// Shared with pending handlers, so it can outlive NodeLinks.
class NodeLinks::Implementation final
    : public ConnectionOwner,
      public HeartbeatSocketOwner,
      public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& io, Options options, NodeObserver& observer);

  Result<void> Listen();
  void Start();

  void SendVisit(NodeAddress to,
                 const decision::VisitRequest& visit,
                 const HttpRequest& request);
  void SendReply(NodeAddress to,
                 const decision::VisitReply& reply,
                 const decision::Answer& response);
  void SendTicketItems(NodeAddress to,
                       const std::vector<decision::TicketItemText>& items);
  // Sends a frame that expects no reply. It is dropped when it can't be sent.
  void SendWithoutReply(NodeAddress to, OutgoingFrame frame);
  void SendHeartbeat(NodeAddress to, const decision::Heartbeat& heartbeat);
  void SetStateDigest(std::uint64_t digest) { this->state_digest = digest; }
  void SetAllowedPeers(std::function<bool(NodeAddress)> allowed);
  void Close();
  // Closes everything without further calls of the observer.
  void CloseWithoutNotifying();
  std::size_t ConnectionCount() const;
  std::size_t QueuedBytes() const;
  NodeLinksCounters Counters() const;
  const SentBytes& Sent() const { return this->sent; }

  // ConnectionOwner:
  Result<void> OnFrame(Connection& connection,
                       const FrameHeader& header,
                       std::string_view payload) override;
  void OnConnected(Connection& connection) override;
  void OnClosed(Connection& connection,
                CloseCause cause,
                const std::string& reason) override;
  void OnVisitLost(const decision::AttemptId& attempt, bool sent) override;
  std::uint64_t StateDigest() const override { return this->state_digest; }
  void CountSent(std::size_t bytes) override { this->bytes_sent += bytes; }
  void CountReceived(std::size_t bytes) override {
    this->bytes_received += bytes;
  }

  // HeartbeatSocketOwner:
  void OnHeartbeatReceived(decision::Heartbeat heartbeat) override;
  void OnDatagramRejected(const std::string& sender,
                          const std::string& reason) override;
  void CountDatagramSent(NodeAddress to, std::size_t bytes) override;
  void CountDatagramReceived(std::size_t bytes) override;

 private:
  void Accept();
  void OnAccepted(const Connection::Strand& strand,
                  asio::ip::tcp::socket socket);
  void Sweep();
  bool IsAllowed(NodeAddress peer) const;
  bool IsWithinFrame(const OutgoingFrame& frame, NodeAddress to);
  // Whether the send queues of all peers leave room for a reply.
  bool HasRoomToQueue(const OutgoingFrame& frame) const;
  void SendOn(Connection& connection, NodeAddress to, OutgoingFrame frame);
  void ReportUnsentVisit(const decision::AttemptId& attempt);

  // Returns false when the links are closing, or when `is_accepted` is set and
  // the limit of accepted connections is reached.
  bool Register(const std::shared_ptr<Connection>& connection,
                bool is_accepted);
  std::shared_ptr<Connection> FindOrCreateOutgoing(NodeAddress to);
  std::shared_ptr<Connection> CreateOutgoing(NodeAddress to);
  std::vector<std::shared_ptr<Connection>> SnapshotConnections() const;

  Result<void> HandleGreeting(Connection& connection,
                              const FrameHeader& header,
                              std::string_view payload);
  Result<void> HandleFrameFromGate(Connection& connection,
                                   const FrameHeader& header,
                                   std::string_view payload);
  Result<void> HandleFrameFromOrigin(Connection& connection,
                                     const FrameHeader& header,
                                     std::string_view payload);
  Result<void> HandleVisit(Connection& connection,
                           const FrameHeader& header,
                           std::string_view payload);
  Result<void> HandleCancel(const Connection& connection,
                            std::string_view payload);
  Result<void> HandleReply(Connection& connection, std::string_view payload);
  Result<void> HandleTicketItems(const Connection& connection,
                                 std::string_view payload);
  Result<void> HandleTicketItemsRequest(const Connection& connection,
                                        std::string_view payload);
  void ReportDigestChange(Connection& connection, std::uint64_t digest);

  asio::io_context& io;
  const Options options;
  NodeObserver& observer;
  ObserverGuard observer_guard;
  LinkLog log;
  Connection::Strand control;  // For the acceptor and the timer.
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweep_timer;
  std::shared_ptr<HeartbeatSocket> heartbeats;
  bool is_accept_stalled = false;

  ConnectionTable outgoing;  // By the peer connected to.
  ConnectionTable incoming;  // By the peer that sent the greeting.

  // Guards the next four members. Not locked on the path of a frame.
  mutable std::mutex mutex;
  std::unordered_set<std::shared_ptr<Connection>> connections;
  std::size_t accepted_count = 0;  // Number of `connections` that peers opened.
  bool is_closing = false;
  std::shared_ptr<const std::function<bool(NodeAddress)>> allowed;

  SentBytes sent;
  std::atomic<std::uint64_t> state_digest{0};
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
  std::atomic<std::uint64_t> heartbeats_sent{0};
  std::atomic<std::uint64_t> heartbeats_received{0};
  std::atomic<std::uint64_t> frames_rejected{0};
  std::atomic<std::uint64_t> peers_refused{0};
  std::atomic<std::uint64_t> replies_dropped{0};
  std::atomic<std::uint64_t> visits_lost{0};
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_NODE_LINKS_IMPLEMENTATION_H_
