#include "tests/driver/test_region.h"

#include <unistd.h>

#include <asio/post.hpp>
#include <map>

#include "libraries/base/verify.h"
#include "tests/fakes/free_port.h"

namespace agaterun::driver {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000000;
constexpr int kServingPolls = 1200;
constexpr Duration kServingPoll = 50ms;

// Hosts of two test programs that run at once differ in their addresses.
std::uint32_t HostIp(std::size_t index) {
  const auto process = static_cast<std::uint32_t>(getpid()) % 60000 + 1000;
  return kLoopback + (process << 8) % 0x1000000 +
         static_cast<std::uint32_t>(index) + 1;
}

}  // namespace

TestRegion::TestRegion(std::vector<TestHost> hosts, std::string routes)
    : work(asio::make_work_guard(this->io)),
      platform({}),
      routes(std::move(routes)) {
  for (const auto& plan : hosts) {
    this->hosts.push_back(
        RunningHost{.plan = plan,
                    .settings = this->MakeSettings(plan, this->hosts.size())});
  }
  this->platform.PublishTicket(1, this->Ticket(1));
  for (auto& host : this->hosts) {
    this->Start(host);
  }
  this->thread = std::thread([this] { this->io.run(); });
}

TestRegion::~TestRegion() {
  this->io.stop();
  this->thread.join();
  for (auto& host : this->hosts) {
    host.node.reset();
    host.backend.reset();
  }
}

NodeSettings TestRegion::MakeSettings(const TestHost& host,
                                      std::size_t index) const {
  const auto ip = HostIp(index);
  NodeSettings settings{.host = host.name,
                        .region = "region",
                        .failure_domain = host.failure_domain};
  settings.node = fakes::FreeAddress(ip);
  settings.caller = fakes::FreeAddress(ip);
  settings.service = host.service;
  settings.backend_server = fakes::FreeAddress(ip);
  settings.nested = fakes::FreeAddress(ip);
  settings.platform = this->platform.Address();
  settings.operator_address = fakes::FreeAddress(ip);
  if (index > 0) {
    settings.seeds.push_back(this->hosts.front().settings.node);
  }
  return settings;
}

std::string TestRegion::Ticket(std::uint64_t number) const {
  std::map<std::string, std::string> services;
  for (const auto& host : this->hosts) {
    auto& text = services[host.plan.service];
    if (text.empty()) {
      text = "[service " + host.plan.service +
             "]\nslots = " + std::to_string(host.plan.slots) +
             "\nconnections = 64\n";
    }
    text += "endpoint." + host.plan.name + " = " +
            host.settings.node.ToString() + " region/" +
            host.plan.failure_domain + "\n";
  }
  std::string ticket = "[ticket]\nnumber = " + std::to_string(number) + "\n";
  for (const auto& [name, text] : services) {
    ticket += text;
  }
  return ticket + this->routes;
}

void TestRegion::Start(RunningHost& host) {
  fakes::FakeBackendServer::Options options{
      .listen = *host.settings.backend_server,
      .service = host.plan.service,
      .nested = fakes::ReadNestedCalls(host.plan.nested),
      .nested_address = host.settings.nested};
  options.behavior.service_ms = host.plan.service_ms;
  options.behavior.slots = host.plan.slots;
  auto backend = fakes::FakeBackendServer::Create(this->io, options);
  VERIFY(backend.has_value());
  host.backend = std::move(*backend);
  host.stopped = std::make_shared<std::promise<void>>();
  auto node =
      NodeDriver::Create(this->io, host.settings,
                         [stopped = host.stopped] { stopped->set_value(); });
  VERIFY(node.has_value());
  host.node = std::move(*node);
  this->clients.push_back(std::make_unique<client::CallerClient>(
      this->io,
      client::CallerClient::Options{.nodes = {host.settings.caller}}));
}

bool TestRegion::WaitUntilServing() {
  for (int poll = 0; poll < kServingPolls; ++poll) {
    bool all_serve = true;
    for (auto& host : this->hosts) {
      all_serve =
          all_serve && host.node->Health() == "serving" &&
          host.node->StateDump().find("\"ready\": true") != std::string::npos;
    }
    if (all_serve) {
      return true;
    }
    std::this_thread::sleep_for(kServingPoll);
  }
  return false;
}

client::CallerResult TestRegion::Call(std::size_t host,
                                      client::CallerRequest request) {
  std::promise<client::CallerResult> promise;
  this->clients[host]->Call(
      std::move(request),
      [&](const client::CallerResult& result) { promise.set_value(result); });
  return promise.get_future().get();
}

void TestRegion::Run(const std::function<void()>& work) {
  std::promise<void> done;
  asio::post(this->io, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void TestRegion::StopNode(std::size_t host) {
  this->hosts[host].node->Stop();
  this->hosts[host].stopped->get_future().wait();
}

bool TestRegion::WaitUntilStopped(std::size_t host) {
  return this->hosts[host].stopped->get_future().wait_for(60s) ==
         std::future_status::ready;
}

}  // namespace agaterun::driver
