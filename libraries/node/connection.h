#ifndef LIBRARIES_NODE_CONNECTION_H_
#define LIBRARIES_NODE_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/strand.hpp>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"
#include "libraries/node/frame.h"
#include "libraries/node/frame_reader.h"

namespace agaterun::node {

class Connection;

// Why a connection ended.
enum class CloseCause {
  kStopped,     // This node closes its links.
  kIdle,        // No frame was sent or received for the idle timeout.
  kPeerClosed,  // The peer closed it at a frame boundary.
  kLost,        // It broke or could not be established.
  kRejected,    // The peer sent an invalid frame.
  kRefused,     // The peer is not allowed to connect to this node.
};

// Receives the events of its connections. Called on the strand of the
// connection.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  virtual Result<void> OnFrame(Connection& connection,
                               const FrameHeader& header,
                               std::string_view payload) = 0;
  // An outgoing connection was established.
  virtual void OnConnected(Connection& connection) = 0;
  // Only OnVisitLost calls follow for this connection. `reason` is for the log.
  virtual void OnClosed(Connection& connection,
                        CloseCause cause,
                        const std::string& reason) = 0;
  virtual void OnVisitLost(const decision::AttemptId& attempt, bool sent) = 0;
  virtual std::uint64_t StateDigest() const = 0;
  virtual void CountSent(std::size_t bytes) = 0;
  virtual void CountReceived(std::size_t bytes) = 0;
};

// One TCP connection to or from another node. Functions run on the strand of
// the connection unless they are marked as thread-safe. The owner outlives the
// connection.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  struct Options {
    std::size_t max_frame_bytes = 0;   // Maximum payload size accepted.
    std::size_t max_unsent_bytes = 0;  // Maximum size of the send queue.
    Duration connect_timeout{};        // Also bounds greeting and draining.
    Duration idle_timeout{};           // Zero: an idle connection stays open.
  };

  using Strand = asio::strand<asio::io_context::executor_type>;

  // `socket` runs its handlers on `strand`; closed for an outgoing connection.
  Connection(Strand strand,
             asio::ip::tcp::socket socket,
             Options options,
             std::shared_ptr<ConnectionOwner> owner);

  // Starts an outgoing connection from `self_ip`. Safe from any thread.
  void Connect(std::uint32_t self_ip, NodeAddress peer);

  // Starts to read from an accepted connection. Safe from any thread.
  void StartAccepted();

  // Queues a frame. Safe from any thread, never blocks.
  void Send(OutgoingFrame frame);

  // Closes the connection asynchronously. Safe from any thread.
  void RequestClose(CloseCause cause, std::string reason);

  // Closes the connection gracefully within the connect timeout: the side that
  // opened it closes once all its visits have ended; the accepting side sends a
  // closing frame to ask for that. Safe from any thread.
  void RequestDrain();

  // Handles a closing frame on an outgoing connection: closes it once its
  // visits have ended.
  void CloseAfterVisits();

  // Closes the connection if its deadline has passed without progress. Safe
  // from any thread.
  void CheckDeadline(Instant now);

  // False once it is closing. Safe from any thread.
  bool IsUsable() const { return this->is_usable.load(); }

  bool IsOutgoing() const { return this->is_outgoing; }

  // Size of the frames that are not written in full. Safe from any thread.
  std::size_t QueuedBytes() const { return this->queued_bytes.load(); }

  // Removes a visit whose reply was received. Returns false when the visit is
  // not in flight on this connection.
  bool FinishVisit(const decision::AttemptId& attempt);

  // The peer's address and incarnation, once they are known.
  void SetPeer(NodeAddress address, std::uint64_t incarnation);
  bool HasPeer() const { return this->has_peer; }
  NodeAddress Peer() const { return this->peer; }
  std::uint64_t PeerIncarnation() const { return this->peer_incarnation; }

  // IP of the peer in host byte order; 0 when the socket is not connected.
  std::uint32_t RemoteIp() const;

  // Name of the peer for the log: its address, or only its IP before its
  // greeting is received.
  std::string RemoteName() const;

  // Last digest received from the peer; only changes are reported.
  std::uint64_t peer_digest = 0;

 private:
  static constexpr Instant::rep kNever =
      std::numeric_limits<Instant::rep>::max();
  enum class State { kConnecting, kOpen, kDraining, kClosed };

  void StartConnect(std::uint32_t self_ip);
  void FinishConnect(const std::error_code& error);
  void StartRead();
  void OnReadable(const std::error_code& error);
  // False when the connection was closed.
  bool ReadOnce(bool& is_socket_empty);
  void Enqueue(OutgoingFrame frame);
  void RejectForFullQueue(const OutgoingFrame& frame);
  void StartWrite();
  void OnWritten(const std::error_code& error, std::size_t bytes);
  void MarkWritten(std::size_t bytes);
  void Drain();
  void CloseIfDrained();
  void Close(CloseCause cause, const std::string& reason);
  void FinishClose();
  void ExtendIdleDeadline();

  const Options options;
  const std::shared_ptr<ConnectionOwner> owner;
  Strand strand;
  asio::ip::tcp::socket socket;
  FrameReader reader;
  State state = State::kConnecting;
  bool is_outgoing = false;
  bool has_peer = false;
  bool is_writing = false;
  NodeAddress peer;
  std::uint64_t peer_incarnation = 0;
  CloseCause close_cause = CloseCause::kStopped;
  std::string close_reason;
  std::string remote_name;
  std::vector<OutgoingFrame> send_queue;
  std::vector<OutgoingFrame> frames_in_write;
  // Visits without a reply; the value is true once a byte of the visit was
  // written to the socket.
  std::unordered_map<decision::AttemptId, bool> visits;
  std::atomic<std::size_t> queued_bytes{0};
  std::atomic<bool> is_usable{true};
  std::atomic<Instant::rep> deadline;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_CONNECTION_H_
