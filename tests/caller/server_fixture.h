#ifndef TESTS_CALLER_SERVER_FIXTURE_H_
#define TESTS_CALLER_SERVER_FIXTURE_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include "libraries/caller/caller_server.h"
#include "tests/caller/raw_caller.h"
#include "tests/caller/recording_observer.h"

namespace agaterun::caller {

inline std::string Get(const std::string& target,
                       const std::string& headers = "") {
  return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

// Runs a server on a free port of the loopback interface with three threads.
class ServerFixture {
 public:
  explicit ServerFixture(CallerServer::Options options = {}) {
    options.listen = {.ip = 0x7f000001, .port = 0};
    this->server =
        CallerServer::Create(this->io, options, this->call_ids, this->observer)
            .value();
    for (int i = 0; i < 3; ++i) {
      this->threads.emplace_back([this] { this->io.run(); });
    }
  }

  ~ServerFixture() {
    this->server.reset();
    this->work.reset();
    for (auto& thread : this->threads) {
      thread.join();
    }
  }

  RawCaller Connect() { return RawCaller(this->server->Address()); }

  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(this->io);
  std::atomic<decision::CallId> call_ids = 0;
  RecordingObserver observer;
  std::unique_ptr<CallerServer> server;
  std::vector<std::thread> threads;
};

}  // namespace agaterun::caller

#endif  // TESTS_CALLER_SERVER_FIXTURE_H_
