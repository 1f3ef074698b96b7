// Memory and latency of a server with many kept connections, once with
// cpp-httplib and once with CallerServer. Server and load are processes of
// their own, so that each has its own memory:
//
//   caller_connections_benchmark serve httplib 7800 &
//   caller_connections_benchmark load 7800 780 950 20 PID_OF_SERVER

#include <httplib.h>

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/caller/caller_server.h"
#include "libraries/http/response_parser.h"

namespace agaterun {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;
constexpr std::size_t kPoolThreads = 800;
constexpr int kIoThreads = 2;
constexpr std::string_view kRequest =
    "GET /drafts/1 HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n";

Instant Now() {
  return MonotonicClock().Now();
}

// Answers every request at once.
class AnsweringObserver final : public caller::CallerObserver {
 public:
  void OnRequest(decision::CallId call, HttpRequest, bool) override {
    this->server->Answer(call, {.status = 200, .body = "ok"});
  }
  void OnCallerDisconnected(decision::CallId) override {}

  std::unique_ptr<caller::CallerServer> server;
};

void ServeAgaterun(std::uint16_t port) {
  asio::io_context io;
  AnsweringObserver observer;
  std::atomic<decision::CallId> call_ids = 0;
  auto server = caller::CallerServer::Create(
      io, {.listen = {.ip = kLoopback, .port = port}}, call_ids, observer);
  if (!server) {
    std::fprintf(stderr, "%s\n", server.error().message.c_str());
    std::exit(1);
  }
  observer.server = *std::move(server);
  std::vector<std::thread> threads;
  for (int i = 0; i < kIoThreads; ++i) {
    threads.emplace_back([&io] { io.run(); });
  }
  for (auto& thread : threads) {
    thread.join();
  }
}

void ServeHttplib(std::uint16_t port) {
  httplib::Server server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kPoolThreads); };
  server.set_keep_alive_max_count(1'000'000);
  server.set_keep_alive_timeout(60);
  server.set_tcp_nodelay(true);
  server.Get("/drafts/1",
             [](const httplib::Request&, httplib::Response& response) {
               response.set_content("ok", "text/plain");
             });
  server.listen("127.0.0.1", port);
}

// One kept connection that sends a request when told to.
class LoadConnection {
 public:
  LoadConnection(asio::io_context& io,
                 std::uint16_t port,
                 std::vector<double>& latencies)
      : socket(io), parser({}), latencies(latencies) {
    this->socket.connect({asio::ip::address_v4(kLoopback), port});
    this->socket.set_option(asio::ip::tcp::no_delay(true));
  }

  // `due` is when the request should have left, so that a late client shows.
  void Send(Instant due) {
    this->due = due;
    asio::async_write(
        this->socket, asio::buffer(kRequest),
        [this](const std::error_code&, std::size_t) { this->Read(); });
  }

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->buffer),
        [this](const std::error_code& error, std::size_t count) {
          if (error || !this->parser.Feed({this->buffer.data(), count})) {
            std::fprintf(stderr, "broken: %s\n", error.message().c_str());
            std::exit(1);
          }
          if (!this->parser.IsDone()) {
            this->Read();
            return;
          }
          bool keep_alive = false;
          this->parser.Take(keep_alive);
          this->latencies.push_back(ToMilliseconds(Now() - this->due));
        });
  }

  asio::ip::tcp::socket socket;
  http::ResponseParser parser;
  std::vector<double>& latencies;
  std::array<char, 1024> buffer;
  Instant due{};
};

// Sends at a fixed rate, whatever the answers do.
class OpenLoopLoad {
 public:
  OpenLoopLoad(std::uint16_t port, int connections, double rate, int seconds)
      : timer(this->io),
        interval(std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1 / rate))),
        left(static_cast<int>(rate * seconds)) {
    for (int i = 0; i < connections; ++i) {
      this->connections.push_back(
          std::make_unique<LoadConnection>(this->io, port, this->latencies));
    }
  }

  std::vector<double> Run() {
    this->due = Now();
    this->SendDue();
    this->io.run();
    std::sort(this->latencies.begin(), this->latencies.end());
    return this->latencies;
  }

 private:
  void SendDue() {
    while (this->left > 0 && this->due <= Now()) {
      this->connections[this->next]->Send(this->due);
      this->next = (this->next + 1) % this->connections.size();
      this->due += this->interval;
      --this->left;
    }
    if (this->left == 0) {
      return;
    }
    this->timer.expires_at(std::chrono::steady_clock::time_point(this->due));
    this->timer.async_wait([this](const std::error_code&) { this->SendDue(); });
  }

  asio::io_context io;
  asio::steady_timer timer;
  Duration interval;
  int left;
  Instant due{};
  std::size_t next = 0;
  std::vector<double> latencies;
  std::vector<std::unique_ptr<LoadConnection>> connections;
};

// Resident memory of a process as the kernel tells it.
std::string ReadMemory(const std::string& process) {
  std::ifstream status("/proc/" + process + "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.starts_with("VmRSS:")) {
      return line.substr(line.find_first_of("0123456789"));
    }
  }
  return "?";
}

void Load(const char** arguments) {
  const int connections = std::atoi(arguments[1]);
  const double rate = std::atof(arguments[2]);
  OpenLoopLoad load(static_cast<std::uint16_t>(std::atoi(arguments[0])),
                    connections, rate, std::atoi(arguments[3]));
  const std::string idle = ReadMemory(arguments[4]);
  const auto latencies = load.Run();
  const auto at = [&](double share) {
    return latencies[static_cast<std::size_t>(
        share * static_cast<double>(latencies.size() - 1))];
  };
  std::printf(
      "connections=%d rate=%.0f/s answers=%zu p50=%.3fms p99=%.3fms "
      "max=%.3fms rss_idle=%s rss_loaded=%s\n",
      connections, rate, latencies.size(), at(0.5), at(0.99), at(1),
      idle.c_str(), ReadMemory(arguments[4]).c_str());
}

int Main(int argc, const char** argv) {
  const std::string verb = argc > 1 ? argv[1] : "";
  if (verb == "serve" && argc == 4) {
    const auto port = static_cast<std::uint16_t>(std::atoi(argv[3]));
    if (std::string_view(argv[2]) == "httplib") {
      ServeHttplib(port);
    } else {
      ServeAgaterun(port);
    }
    return 0;
  }
  if (verb == "load" && argc == 7) {
    Load(argv + 2);
    return 0;
  }
  std::fprintf(stderr,
               "usage: caller_connections_benchmark serve httplib|agaterun "
               "PORT\n       caller_connections_benchmark load PORT "
               "CONNECTIONS RATE SECONDS SERVER_PID\n");
  return 2;
}

}  // namespace

}  // namespace agaterun

int main(int argc, const char** argv) {
  return agaterun::Main(argc, argv);
}
