#ifndef LIBRARIES_NODE_NODE_LINKS_H_
#define LIBRARIES_NODE_NODE_LINKS_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/node/sent_bytes.h"

namespace agaterun::node {

// Receives the messages of other nodes. Called from the threads of the
// io_context.
class NodeObserver {
 public:
  virtual ~NodeObserver() = default;
  virtual void OnVisit(NodeAddress from,
                       decision::VisitRequest visit,
                       HttpRequest request) = 0;
  virtual void OnVisitCancelled(decision::AttemptId attempt) = 0;
  virtual void OnReply(decision::VisitReply reply,
                       decision::Answer response) = 0;
  // The connection to the gate broke or could not be established. `sent` is
  // false when no byte of the visit was written.
  virtual void OnAttemptLost(decision::AttemptId attempt, bool sent) = 0;
  virtual void OnHeartbeat(decision::Heartbeat heartbeat) = 0;
  virtual void OnDigestReceived(NodeAddress peer, std::uint64_t digest) = 0;
  virtual void OnTicketItems(NodeAddress from,
                             std::vector<decision::TicketItemText> items) = 0;
  virtual void OnTicketItemsRequested(
      NodeAddress from,
      std::vector<decision::TicketItemVersion> known_versions) = 0;
};

// Counters since the links were created.
struct NodeLinksCounters {
  std::uint64_t bytes_sent = 0;  // Frames and datagrams, without IP headers.
  std::uint64_t bytes_received = 0;
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t heartbeats_received = 0;
  std::uint64_t frames_rejected = 0;  // In streams and datagrams.
  std::uint64_t peers_refused = 0;    // Not allowed, or too many.
  std::uint64_t replies_dropped = 0;  // Late or unknown visit.
  std::uint64_t visits_lost = 0;
};

// Exchanges frames with all other nodes: calls and ticket items over TCP,
// heartbeats over UDP, both on the node's own address.
class NodeLinks {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    Duration connect_timeout = 1s;
    std::size_t max_frame_bytes = 4 * 1024 * 1024;  // Checked before decoding.
    std::size_t connections = 2048;  // Accepted from other nodes.
    std::size_t max_unsent_bytes = 32 * 1024 * 1024;  // Send queue per peer.
    // Send queues of all peers together, beyond which no long response is
    // queued.
    std::size_t max_unsent_response_bytes = 24 * 1024 * 1024;
    Duration idle_timeout = 300s;
  };

  // Starts to listen before it returns. `observer` must outlive the links.
  // Fails with ErrorKind::kConnectionFailed when the address is in use.
  static Result<std::unique_ptr<NodeLinks>> Create(asio::io_context& io,
                                                   Options options,
                                                   NodeObserver& observer);

  ~NodeLinks();

  // The functions below are safe from any thread, never block and never call
  // the observer before they return. Each visit, also a cancelled one, ends in
  // exactly one OnReply or OnAttemptLost. A reply is sent on the connection
  // that its origin opened. If that connection is closed, the reply is dropped:
  // the origin has already received OnAttemptLost.
  void SendVisit(NodeAddress to,
                 const decision::VisitRequest& visit,
                 const HttpRequest& request);
  void CancelVisit(NodeAddress to, decision::AttemptId attempt);
  void SendReply(NodeAddress to,
                 const decision::VisitReply& reply,
                 const decision::Answer& response);
  void SendHeartbeat(NodeAddress to, const decision::Heartbeat& heartbeat);
  // Splits large lists into several messages. Sends one empty message when
  // `items` is empty.
  void SendTicketItems(NodeAddress to,
                       const std::vector<decision::TicketItemText>& items);
  void RequestTicketItems(
      NodeAddress to,
      const std::vector<decision::TicketItemVersion>& known_versions);

  // Sets the digest in the header of all frames written from now on.
  void SetStateDigest(std::uint64_t digest);

  // Frames from nodes for which `allowed` returns false are refused. The
  // default accepts all nodes, since a starting node has no list of hosts yet.
  void SetAllowedPeers(std::function<bool(NodeAddress)> allowed);

  // Accepts no more connections and closes the existing ones gracefully within
  // the connect timeout: peers are asked to send no new visits, and visits in
  // transit still reach the observer and can be replied to. Returns at once;
  // all connections are closed when ConnectionCount() is 0. The destructor
  // waits only for observer calls in progress.
  void Close();

  std::size_t ConnectionCount() const;

  // Bytes that wait to be written to other nodes.
  std::size_t QueuedBytes() const;

  NodeLinksCounters Counters() const;
  // Bytes sent to the nodes for which `selected` returns true.
  SentBytes::ByKind Sent(
      const std::function<bool(NodeAddress)>& selected) const;

 private:
  class Implementation;
  explicit NodeLinks(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_NODE_LINKS_H_
