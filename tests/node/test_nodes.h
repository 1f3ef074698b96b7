#ifndef TESTS_NODE_TEST_NODES_H_
#define TESTS_NODE_TEST_NODES_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/node/node_links.h"

namespace agaterun::node {

// Maximum wait for an expected event. It is only reached when the code hangs.
inline constexpr Duration kHangGuard = 20s;

// Returns a loopback address on which no TCP or UDP socket listens. Each call
// returns another IP, so that each address stands for a different host.
NodeAddress FreeAddress();

// An io_context with its own threads.
class IoThreads {
 public:
  explicit IoThreads(int threads = 2);
  ~IoThreads();

  asio::io_context io;

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

struct LostAttempt {
  decision::AttemptId attempt;
  bool sent = false;
};

struct ReceivedVisit {
  NodeAddress from;
  decision::VisitRequest visit;
  HttpRequest request;
};

struct ReceivedReply {
  decision::VisitReply reply;
  decision::Answer response;
};

// All events that a RecordingObserver received.
struct ReceivedEvents {
  std::vector<ReceivedVisit> visits;
  std::vector<decision::AttemptId> cancelled;
  std::vector<ReceivedReply> replies;
  std::vector<LostAttempt> lost;
  std::vector<decision::Heartbeat> heartbeats;
  std::vector<std::pair<NodeAddress, std::uint64_t>> digests;
  std::size_t item_messages = 0;
  std::vector<decision::TicketItemText> items;
  std::vector<decision::TicketItemVersion> requested_items;
};

class RecordingObserver : public NodeObserver {
 public:
  void OnVisit(NodeAddress from,
               decision::VisitRequest visit,
               HttpRequest request) override;
  void OnVisitCancelled(decision::AttemptId attempt) override;
  void OnReply(decision::VisitReply reply, decision::Answer response) override;
  void OnAttemptLost(decision::AttemptId attempt, bool sent) override;
  void OnHeartbeat(decision::Heartbeat heartbeat) override;
  void OnDigestReceived(NodeAddress peer, std::uint64_t digest) override;
  void OnTicketItems(NodeAddress from,
                     std::vector<decision::TicketItemText> items) override;
  void OnTicketItemsRequested(
      NodeAddress from,
      std::vector<decision::TicketItemVersion> known_versions) override;

  // Waits until `condition` is true; returns false after kHangGuard.
  bool WaitFor(const std::function<bool(const ReceivedEvents&)>& condition);

  ReceivedEvents Snapshot();

 private:
  void Record(const std::function<void(ReceivedEvents&)>& change);

  std::mutex mutex;
  std::condition_variable changed;
  ReceivedEvents events;
};

// The links of a node with an observer that records all events.
struct TestNode {
  explicit TestNode(asio::io_context& io, NodeLinks::Options options = {});

  // Returns a visit of this node for the call number `call`.
  decision::VisitRequest Visit(decision::CallId call) const;

  NodeLinks::Options options;
  RecordingObserver observer;
  std::unique_ptr<NodeLinks> links;
};

// Returns a reply to `visit` with the outcome kCompleted.
decision::VisitReply ReplyTo(const decision::VisitRequest& visit);

decision::Answer MakeResponse(std::string body);

// Polls `condition` until it is true; returns false after kHangGuard.
bool Eventually(const std::function<bool()>& condition);

}  // namespace agaterun::node

#endif  // TESTS_NODE_TEST_NODES_H_
