#ifndef TESTS_FAKES_BACKEND_SERVER_FAKE_BACKEND_SERVER_H_
#define TESTS_FAKES_BACKEND_SERVER_FAKE_BACKEND_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/random.h"
#include "tests/fakes/backend_server/execution_counts.h"
#include "tests/fakes/backend_server/fake_behavior.h"
#include "tests/fakes/backend_server/fake_connection.h"
#include "tests/fakes/backend_server/fake_visit.h"
#include "tests/fakes/backend_server/nested_caller.h"
#include "tests/fakes/backend_server/slot_queue.h"

namespace agaterun::fakes {

// Stands in for a backend server. Its io_context is run by one thread, on
// which all calls are made while that runs, and not run any more once this is
// destroyed.
//
// POST /control changes its behaviour, GET /control/executions and
// /control/stats tell what it did; /health and /load may lag or lie.
class FakeBackendServer : private FakeConnectionOwner {
 public:
  struct Options {
    NodeAddress listen;
    std::string service = "fake";
    int connections = 1024;  // Further ones wait to be accepted.
    FakeBehavior behavior;
    std::vector<NestedCall> nested;
    std::optional<NodeAddress> nested_address;
    std::size_t response_bytes = 0;
    std::size_t execution_limit = 1'000'000;  // Request ids remembered.
    std::uint64_t seed = 1;
    std::function<void()> crash;  // In place of ending the process.
  };

  // Listens at once. Fails with ErrorKind::kInputOutput.
  static Result<std::unique_ptr<FakeBackendServer>> Create(asio::io_context& io,
                                                           Options options);
  ~FakeBackendServer() override;

  NodeAddress Address() const { return this->options.listen; }
  FakeBehavior& Behavior() { return this->options.behavior; }
  std::size_t RunningCount() const { return this->slots.Running(); }
  const ExecutionCounts& Executions() const { return this->executions; }

 private:
  using Connection = std::shared_ptr<FakeConnection>;

  struct Running {
    std::shared_ptr<FakeVisit> visit;
    SlotQueue::Ticket ticket = 0;
  };

  struct LoadSnapshot {
    Instant at{};
    std::size_t running = 0;
    std::size_t waiting = 0;
    bool drain = false;
  };

  FakeBackendServer(asio::io_context& io, Options options);
  Result<void> Listen();
  void Accept();
  void OnRequest(Connection connection, HttpRequest request) override;
  void OnEnded(Connection connection) override;

  // The answer to a request about the fake itself, or nothing for others.
  std::optional<HttpResponse> AnswerOwn(const HttpRequest& request);
  HttpResponse Control(const HttpRequest& request);
  HttpResponse Stats() const;
  HttpResponse Report(bool health);
  void Begin(const Connection& connection, HttpRequest request);
  void Run(const Connection& connection);
  void Finish(const Connection& connection, const HttpResponse& response);

  asio::io_context& io;
  Options options;
  SeededRandom random;
  asio::ip::tcp::acceptor acceptor;
  std::unique_ptr<NestedCaller> nested_caller;
  std::unordered_map<FakeConnection*, Connection> connections;
  std::unordered_map<FakeConnection*, Running> visits;
  SlotQueue slots;
  ExecutionCounts executions;
  LoadSnapshot snapshot;
  Instant started{};  // Or when it was told to be cold.
  bool accepting = false;
  std::uint64_t completed = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t shed = 0;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_FAKE_BACKEND_SERVER_H_
