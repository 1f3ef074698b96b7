// Round trips, throughput, memory and bytes of the links between nodes, over
// loopback. Usage: node_links_benchmark [SECONDS_PER_RATE]
#include <arpa/inet.h>
#include <malloc.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/node/frame_messages.h"
#include "libraries/node/node_links.h"

namespace agaterun::node {
namespace {

constexpr int kThreadsPerNode = 2;
constexpr int kPeers = 710;
constexpr int kInFlight = 64;
constexpr int kThroughputCalls = 200'000;
constexpr std::size_t kRequestBody = 200;
constexpr std::size_t kAnswerBody = 1000;
constexpr std::uint16_t kPort = 17'440;

Instant Now() {
  return MonotonicClock().Now();
}

double CpuSeconds() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

NodeAddress Address(int number) {
  return {.ip = (127U << 24) | (44U << 16) |
                static_cast<std::uint32_t>((number / 250) << 8) |
                static_cast<std::uint32_t>(number % 250 + 1),
          .port = kPort};
}

class IoThreads {
 public:
  IoThreads() : work(asio::make_work_guard(this->io)) {
    for (int index = 0; index < kThreadsPerNode; ++index) {
      this->threads.emplace_back([this] { this->io.run(); });
    }
  }
  ~IoThreads() {
    this->io.stop();
    for (auto& thread : this->threads) {
      thread.join();
    }
  }

  asio::io_context io;

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::vector<std::thread> threads;
};

class QuietObserver : public NodeObserver {
 public:
  void OnVisit(NodeAddress, decision::VisitRequest, HttpRequest) override {}
  void OnVisitCancelled(decision::AttemptId) override {}
  void OnReply(decision::VisitReply, decision::Answer) override {}
  void OnAttemptLost(decision::AttemptId, bool) override { ++this->lost; }
  void OnHeartbeat(decision::Heartbeat) override {}
  void OnDigestReceived(NodeAddress, std::uint64_t) override {}
  void OnTicketItems(NodeAddress,
                     std::vector<decision::TicketItemText>) override {}
  void OnTicketItemsRequested(
      NodeAddress,
      std::vector<decision::TicketItemVersion>) override {}

  std::atomic<int> lost{0};
};

// Answers each visit at once.
class GateObserver final : public QuietObserver {
 public:
  void OnVisit(NodeAddress from,
               decision::VisitRequest visit,
               HttpRequest) override {
    decision::VisitReply reply;
    reply.attempt = visit.attempt;
    reply.outcome = decision::Outcome::kCompleted;
    reply.thresholds = {{"ledger", {}}};
    this->links->SendReply(from, reply, this->answer);
  }

  NodeLinks* links = nullptr;
  decision::Answer answer = std::make_shared<HttpResponse>(
      HttpResponse{.status = 200, .body = std::string(kAnswerBody, 'a')});
};

// Takes the time of each round trip.
class OriginObserver final : public QuietObserver {
 public:
  void OnReply(decision::VisitReply reply, decision::Answer) override {
    const auto now = Now();
    {
      const std::lock_guard lock(this->mutex);
      this->round_trips.push_back(now - this->started[reply.attempt.call]);
    }
    ++this->replies;
  }

  std::mutex mutex;
  std::vector<Instant> started;
  std::vector<Duration> round_trips;
  std::atomic<int> replies{0};
};

struct Pair {
  Pair() {
    this->gate = std::move(*NodeLinks::Create(
        this->gate_threads.io, {.self = Address(1), .incarnation = 1},
        this->gate_observer));
    this->origin = std::move(*NodeLinks::Create(
        this->origin_threads.io, {.self = Address(2), .incarnation = 1},
        this->origin_observer));
    this->gate_observer.links = this->gate.get();
  }

  void Send(int call) {
    decision::VisitRequest visit;
    visit.attempt = {.origin = Address(2),
                     .incarnation = 1,
                     .call = static_cast<decision::CallId>(call)};
    visit.service = "drafts";
    visit.route = "open";
    visit.remaining = 1s;
    const HttpRequest request{.method = "GET",
                              .target = "/drafts/1234",
                              .headers = {{"Host", "drafts"}},
                              .body = std::string(kRequestBody, 'r')};
    this->origin_observer.started[visit.attempt.call] = Now();
    this->origin->SendVisit(Address(1), visit, request);
  }

  void Prepare(int calls) {
    this->origin_observer.started.assign(calls, Instant::zero());
    this->origin_observer.round_trips.clear();
    this->origin_observer.replies = 0;
  }

  void WaitForReplies(int count) const {
    while (this->origin_observer.replies + this->origin_observer.lost < count) {
      std::this_thread::sleep_for(100us);
    }
  }

  GateObserver gate_observer;
  OriginObserver origin_observer;
  IoThreads gate_threads;
  IoThreads origin_threads;
  std::unique_ptr<NodeLinks> gate;
  std::unique_ptr<NodeLinks> origin;
};

void PrintRow(const std::string& name, std::vector<Duration> times) {
  std::sort(times.begin(), times.end());
  const auto at = [&](double share) {
    return ToMilliseconds(times[static_cast<std::size_t>(
        share * static_cast<double>(times.size() - 1))]);
  };
  std::printf("%-34s %8zu %9.3f %9.3f %9.3f\n", name.c_str(), times.size(),
              at(0.5), at(0.99), at(1.0));
}

// The same bytes to and fro on a plain blocking connection, for comparison.
void MeasurePlainSocket(int rate, int seconds) {
  int ends[2] = {-1, -1};
  const auto address = Address(3);
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(address.ip);
  raw.sin_port = htons(address.port);
  const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
  (void)::bind(listener, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  (void)::listen(listener, 1);
  ends[0] = ::socket(AF_INET, SOCK_STREAM, 0);
  (void)::connect(ends[0], reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  ends[1] = ::accept(listener, nullptr, nullptr);
  std::thread echo([&] {
    std::string bytes(kAnswerBody, 'a');
    while (::recv(ends[1], bytes.data(), kRequestBody, MSG_WAITALL) > 0) {
      (void)::send(ends[1], bytes.data(), kAnswerBody, MSG_NOSIGNAL);
    }
  });
  std::vector<Duration> times;
  std::string bytes(kAnswerBody, 'r');
  const auto start = Now();
  for (int call = 0; call < rate * seconds; ++call) {
    std::this_thread::sleep_until(std::chrono::steady_clock::time_point(
        start + Duration(1s) * call / rate));
    const auto sent = Now();
    (void)::send(ends[0], bytes.data(), kRequestBody, MSG_NOSIGNAL);
    (void)::recv(ends[0], bytes.data(), kAnswerBody, MSG_WAITALL);
    times.push_back(Now() - sent);
  }
  ::close(ends[0]);
  echo.join();
  ::close(ends[1]);
  ::close(listener);
  PrintRow("plain socket, " + std::to_string(rate) + "/s", std::move(times));
}

void MeasureRate(Pair& pair, int rate, int seconds) {
  const int calls = rate * seconds;
  pair.Prepare(calls);
  const auto cpu = CpuSeconds();
  const auto start = Now();
  for (int call = 0; call < calls; ++call) {
    std::this_thread::sleep_until(std::chrono::steady_clock::time_point(
        start + Duration(1s) * call / rate));
    pair.Send(call);
  }
  pair.WaitForReplies(calls);
  const auto used = CpuSeconds() - cpu;
  PrintRow("links, " + std::to_string(rate) + "/s",
           pair.origin_observer.round_trips);
  std::printf("%-34s %8.1f us of both nodes\n", "  CPU per call",
              used / calls * 1e6);
}

void MeasureThroughput(Pair& pair) {
  pair.Prepare(kThroughputCalls);
  const auto cpu = CpuSeconds();
  const auto start = Now();
  for (int call = 0; call < kThroughputCalls; ++call) {
    while (call - pair.origin_observer.replies >= kInFlight) {
      std::this_thread::yield();
    }
    pair.Send(call);
  }
  pair.WaitForReplies(kThroughputCalls);
  const auto seconds = ToSeconds(Now() - start);
  PrintRow("links, " + std::to_string(kInFlight) + " in flight",
           pair.origin_observer.round_trips);
  std::printf("%-34s %8.0f calls/s, %.1f us of CPU per call\n", "  throughput",
              kThroughputCalls / seconds,
              (CpuSeconds() - cpu) / kThroughputCalls * 1e6);
}

void MeasureBytes(Pair& pair) {
  constexpr int kCalls = 1000;
  const auto before = pair.origin->Counters();
  pair.Prepare(kCalls);
  for (int call = 0; call < kCalls; ++call) {
    pair.Send(call);
  }
  pair.WaitForReplies(kCalls);
  const auto after = pair.origin->Counters();
  std::printf(
      "%-34s %8.1f with a body of %zu\n", "bytes of a visit",
      static_cast<double>(after.bytes_sent - before.bytes_sent) / kCalls,
      kRequestBody);
  std::printf(
      "%-34s %8.1f with a body of %zu\n", "bytes of a reply",
      static_cast<double>(after.bytes_received - before.bytes_received) /
          kCalls,
      kAnswerBody);
  decision::Heartbeat heartbeat{.from = Address(2)};
  pair.origin->SendHeartbeat(Address(1), heartbeat);
  while (pair.origin->Counters().heartbeats_sent == 0) {
    std::this_thread::yield();
  }
  std::printf("%-34s %8.1f without IP and UDP headers\n",
              "bytes of a heartbeat",
              static_cast<double>(pair.origin->Counters().bytes_sent -
                                  after.bytes_sent));
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

// Peers that are sockets alone, so that the heap grows by one node's share.
int ListenAt(NodeAddress address) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(address.ip);
  raw.sin_port = htons(address.port);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  const int yes = 1;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
  (void)::bind(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  (void)::listen(descriptor, 1);
  return descriptor;
}

int ConnectAndGreet(NodeAddress from, NodeAddress to) {
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_addr.s_addr = htonl(from.ip);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  (void)::bind(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  raw.sin_addr.s_addr = htonl(to.ip);
  raw.sin_port = htons(to.port);
  (void)::connect(descriptor, reinterpret_cast<sockaddr*>(&raw), sizeof(raw));
  auto frame = EncodeGreeting({.from = from});
  frame.Seal(Duration::zero(), 0);
  (void)::send(descriptor, frame.bytes.data(), frame.bytes.size(),
               MSG_NOSIGNAL);
  return descriptor;
}

void WaitForConnections(const NodeLinks& links, std::size_t count) {
  while (links.ConnectionCount() < count) {
    std::this_thread::sleep_for(1ms);
  }
  // The last ones still write or read their greetings.
  std::this_thread::sleep_for(300ms);
}

void MeasureMemory() {
  QuietObserver observer;
  IoThreads threads;
  const auto self = Address(1000);
  const auto links =
      std::move(*NodeLinks::Create(threads.io, {.self = self}, observer));
  std::vector<int> descriptors;
  for (int peer = 0; peer < kPeers; ++peer) {
    descriptors.push_back(ListenAt(Address(1001 + peer)));
  }
  const auto start = HeapBytes();
  for (int peer = 0; peer < kPeers; ++peer) {
    links->RequestTicketItems(Address(1001 + peer), {});
  }
  WaitForConnections(*links, kPeers);
  const auto opened = HeapBytes();
  for (int peer = 0; peer < kPeers; ++peer) {
    descriptors.push_back(ConnectAndGreet(Address(1001 + peer), self));
  }
  WaitForConnections(*links, 2 * kPeers);
  const auto taken = HeapBytes();
  std::printf("%-34s %8zu bytes of heap each, at %d\n",
              "idle connection that was opened", (opened - start) / kPeers,
              kPeers);
  std::printf("%-34s %8zu bytes of heap each, at %d\n",
              "idle connection that was taken", (taken - opened) / kPeers,
              kPeers);
  for (const int descriptor : descriptors) {
    ::close(descriptor);
  }
}

void Run(int seconds) {
  std::printf("%-34s %8s %9s %9s %9s\n", "", "calls", "p50 ms", "p99 ms",
              "max ms");
  {
    Pair pair;
    for (const int rate : {95, 950}) {
      MeasurePlainSocket(rate, seconds);
      MeasureRate(pair, rate, seconds);
    }
    MeasureThroughput(pair);
    MeasureBytes(pair);
    if (pair.origin_observer.lost > 0) {
      std::printf("LOST %d\n", pair.origin_observer.lost.load());
    }
  }
  MeasureMemory();
}

}  // namespace
}  // namespace agaterun::node

int main(int argc, char** argv) {
  constexpr int kDefaultSeconds = 10;
  agaterun::node::Run(argc > 1 ? std::atoi(argv[1]) : kDefaultSeconds);
  return 0;
}
