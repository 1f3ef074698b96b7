#ifndef TESTS_DRIVER_TEST_REGION_H_
#define TESTS_DRIVER_TEST_REGION_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libraries/client/caller_client.h"
#include "libraries/driver/node_driver.h"
#include "tests/fakes/backend_server/fake_backend_server.h"
#include "tests/fakes/platform/fake_platform.h"

namespace agaterun::driver {

// What a host of the region is to be.
struct TestHost {
  std::string name;
  std::string service;
  std::string failure_domain = "a";
  int slots = 10;
  double service_ms = 1;
  std::string nested;  // As the fake backend server's --nested.
};

// A host that runs: a node and its backend server.
struct RunningHost {
  TestHost plan;
  NodeSettings settings;
  std::unique_ptr<fakes::FakeBackendServer> backend;
  std::unique_ptr<NodeDriver> node;
  std::shared_ptr<std::promise<void>> stopped;
};

// A few nodes with their backend servers and a platform in one process, on
// addresses of their own and ephemeral ports. One thread runs all.
class TestRegion {
 public:
  // `routes` are the [route ...] sections of the first ticket.
  TestRegion(std::vector<TestHost> hosts, std::string routes);
  ~TestRegion();

  // Waits until every node serves. False when one does not within a minute.
  bool WaitUntilServing();

  // Sends a request to a host's node and waits for its end.
  client::CallerResult Call(std::size_t host, client::CallerRequest request);

  // Runs `work` on the region's thread and waits for it.
  void Run(const std::function<void()>& work);

  // Asks a node for a planned stop and waits for it.
  void StopNode(std::size_t host);

  // Waits until a node has stopped. False when it doesn't within a minute.
  bool WaitUntilStopped(std::size_t host);

  // Text of a ticket with all services and the region's routes.
  std::string Ticket(std::uint64_t number) const;

  RunningHost& Host(std::size_t index) { return this->hosts[index]; }
  fakes::FakePlatform& Platform() { return this->platform; }

 private:
  void Start(RunningHost& host);
  NodeSettings MakeSettings(const TestHost& host, std::size_t index) const;

  asio::io_context io{1};
  asio::executor_work_guard<asio::io_context::executor_type> work;
  fakes::FakePlatform platform;
  std::string routes;
  std::vector<RunningHost> hosts;
  std::vector<std::unique_ptr<client::CallerClient>> clients;
  std::thread thread;
};

}  // namespace agaterun::driver

#endif  // TESTS_DRIVER_TEST_REGION_H_
