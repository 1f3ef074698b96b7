#include "tests/node/test_nodes.h"

#include <unistd.h>

#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <atomic>

#include "libraries/base/clock.h"

namespace agaterun::node {

namespace {

// The process id is part of the IP, so that parallel test processes use
// different IPs.
std::uint32_t NextIp() {
  static std::atomic<std::uint32_t> counter{0};
  const auto process = static_cast<std::uint32_t>(::getpid()) % 200 + 20;
  const auto host = ++counter;
  return (127U << 24) | (process << 16) | ((host / 250 + 1) << 8) |
         (host % 250 + 1);
}

}  // namespace

NodeAddress FreeAddress() {
  asio::io_context io;
  const asio::ip::address_v4 ip(NextIp());
  const asio::ip::tcp::acceptor probe(io, {ip, 0});
  return {.ip = ip.to_uint(), .port = probe.local_endpoint().port()};
}

IoThreads::IoThreads(int threads) : work(asio::make_work_guard(this->io)) {
  for (int index = 0; index < threads; ++index) {
    this->threads.emplace_back([this] { this->io.run(); });
  }
}

IoThreads::~IoThreads() {
  this->work.reset();
  this->io.stop();
  for (auto& thread : this->threads) {
    thread.join();
  }
}

void RecordingObserver::Record(
    const std::function<void(ReceivedEvents&)>& change) {
  {
    const std::lock_guard lock(this->mutex);
    change(this->events);
  }
  this->changed.notify_all();
}

bool RecordingObserver::WaitFor(
    const std::function<bool(const ReceivedEvents&)>& condition) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, kHangGuard,
                                [&] { return condition(this->events); });
}

ReceivedEvents RecordingObserver::Snapshot() {
  const std::lock_guard lock(this->mutex);
  return this->events;
}

void RecordingObserver::OnVisit(NodeAddress from,
                                decision::VisitRequest visit,
                                HttpRequest request) {
  this->Record([&](ReceivedEvents& events) {
    events.visits.push_back({from, std::move(visit), std::move(request)});
  });
}

void RecordingObserver::OnVisitCancelled(decision::AttemptId attempt) {
  this->Record(
      [&](ReceivedEvents& events) { events.cancelled.push_back(attempt); });
}

void RecordingObserver::OnReply(decision::VisitReply reply,
                                decision::Answer response) {
  this->Record([&](ReceivedEvents& events) {
    events.replies.push_back({std::move(reply), std::move(response)});
  });
}

void RecordingObserver::OnAttemptLost(decision::AttemptId attempt, bool sent) {
  this->Record([&](ReceivedEvents& events) {
    events.lost.push_back({attempt, sent});
  });
}

void RecordingObserver::OnHeartbeat(decision::Heartbeat heartbeat) {
  this->Record(
      [&](ReceivedEvents& events) { events.heartbeats.push_back(heartbeat); });
}

void RecordingObserver::OnDigestReceived(NodeAddress peer,
                                         std::uint64_t digest) {
  this->Record([&](ReceivedEvents& events) {
    events.digests.emplace_back(peer, digest);
  });
}

void RecordingObserver::OnTicketItems(
    NodeAddress,
    std::vector<decision::TicketItemText> items) {
  this->Record([&](ReceivedEvents& events) {
    ++events.item_messages;
    events.items.insert(events.items.end(), items.begin(), items.end());
  });
}

void RecordingObserver::OnTicketItemsRequested(
    NodeAddress,
    std::vector<decision::TicketItemVersion> known_versions) {
  this->Record([&](ReceivedEvents& events) {
    events.requested_items.insert(events.requested_items.end(),
                                  known_versions.begin(), known_versions.end());
  });
}

TestNode::TestNode(asio::io_context& io, NodeLinks::Options options)
    : options(options) {
  if (this->options.self.port == 0) {
    this->options.self = FreeAddress();
  }
  if (this->options.incarnation == 0) {
    this->options.incarnation = this->options.self.port;
  }
  auto created = NodeLinks::Create(io, this->options, this->observer);
  if (!created) {
    throw std::runtime_error(created.error().message);
  }
  this->links = std::move(*created);
}

decision::VisitRequest TestNode::Visit(decision::CallId call) const {
  decision::VisitRequest visit;
  visit.attempt = {.origin = this->options.self,
                   .incarnation = this->options.incarnation,
                   .call = call,
                   .number = 1};
  visit.service = "drafts";
  visit.remaining = 1s;
  return visit;
}

decision::VisitReply ReplyTo(const decision::VisitRequest& visit) {
  decision::VisitReply reply;
  reply.attempt = visit.attempt;
  reply.outcome = decision::Outcome::kCompleted;
  return reply;
}

decision::Answer MakeResponse(std::string body) {
  auto response = std::make_shared<HttpResponse>();
  response->status = 200;
  response->body = std::move(body);
  return response;
}

bool Eventually(const std::function<bool()>& condition) {
  const MonotonicClock clock;
  const auto guard = clock.Now() + kHangGuard;
  while (!condition()) {
    if (clock.Now() > guard) {
      return false;
    }
    std::this_thread::sleep_for(1ms);
  }
  return true;
}

}  // namespace agaterun::node
