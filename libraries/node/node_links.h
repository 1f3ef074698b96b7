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

// Hears what other nodes send. Called from the threads of the io_context.
class NodeObserver {
 public:
  virtual ~NodeObserver() = default;
  virtual void OnVisit(NodeAddress from,
                       decision::VisitRequest visit,
                       HttpRequest request) = 0;
  virtual void OnVisitCancelled(decision::AttemptId attempt) = 0;
  virtual void OnReply(decision::VisitReply reply, decision::Answer answer) = 0;
  // The connection to the gate broke, or could not be made (`sent` false:
  // no byte of the visit had been written).
  virtual void OnAttemptLost(decision::AttemptId attempt, bool sent) = 0;
  virtual void OnHeartbeat(decision::Heartbeat heartbeat) = 0;
  virtual void OnDigestReceived(NodeAddress peer, std::uint64_t digest) = 0;
  virtual void OnTicketItems(NodeAddress from,
                             std::vector<decision::TicketItemText> items) = 0;
  virtual void OnTicketItemsRequested(
      NodeAddress from,
      std::vector<decision::TicketItemVersion> have) = 0;
};

// What the links did since their start.
struct NodeLinksCounters {
  std::uint64_t bytes_sent = 0;  // Frames and datagrams, without IP headers.
  std::uint64_t bytes_received = 0;
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t heartbeats_received = 0;
  std::uint64_t frames_rejected = 0;  // Connections closed and datagrams.
  std::uint64_t peers_refused = 0;    // Hosts that may not speak here.
  std::uint64_t replies_dropped = 0;  // Late, or of no visit in flight.
  std::uint64_t visits_lost = 0;
};

// The frames between this node and all others: calls and ticket items over
// TCP, heartbeats over UDP, both on the node's own address.
class NodeLinks {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    Duration connect_timeout = 1s;
    std::size_t frame_bytes = 4 * 1024 * 1024;    // Checked before decoding.
    std::size_t connections = 2048;               // Taken from other nodes.
    std::size_t unsent_bytes = 32 * 1024 * 1024;  // Queued for one peer.
    Duration idle_timeout = 300s;
  };

  // Listens at once. `observer` outlives the links.
  static Result<std::unique_ptr<NodeLinks>> Create(asio::io_context& io,
                                                   Options options,
                                                   NodeObserver& observer);

  ~NodeLinks();

  // All are safe from any thread, never block and never call the observer
  // before they return. A visit ends in exactly one OnReply or OnAttemptLost,
  // a cancelled one too. A reply goes back on the connection that its origin
  // holds, and is dropped when that one is gone: the origin heard so.
  void SendVisit(NodeAddress to,
                 const decision::VisitRequest& visit,
                 const HttpRequest& request);
  void CancelVisit(NodeAddress to, decision::AttemptId attempt);
  void SendReply(NodeAddress to,
                 const decision::VisitReply& reply,
                 const decision::Answer& answer);
  void SendHeartbeat(NodeAddress to, const decision::Heartbeat& heartbeat);
  // In several messages when they are large; in an empty one when empty.
  void SendTicketItems(NodeAddress to,
                       const std::vector<decision::TicketItemText>& items);
  void RequestTicketItems(NodeAddress to,
                          const std::vector<decision::TicketItemVersion>& have);

  // Digest that goes out with every frame from now on.
  void SetStateDigest(std::uint64_t digest);

  // Frames from hosts for which `allowed` is false are refused. The default
  // takes all, as a starting node knows nobody yet.
  void SetAllowedPeers(std::function<bool(NodeAddress)> allowed);

  // Takes no more connections and ends those that are there in an orderly
  // way, within the connect timeout: peers are asked to open no more visits,
  // and visits that are on their way still reach the observer and can be
  // answered. Returns at once; all is closed when ConnectionCount() is 0. The
  // destructor waits for nothing but calls of the observer that run.
  void Close();

  std::size_t ConnectionCount() const;

  NodeLinksCounters Counters() const;
  // What went to the nodes for which `selected` is true.
  SentBytes::ByKind Sent(
      const std::function<bool(NodeAddress)>& selected) const;

 private:
  class Implementation;
  explicit NodeLinks(std::shared_ptr<Implementation> implementation);
  std::shared_ptr<Implementation> implementation;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_NODE_LINKS_H_
