#ifndef TESTS_FAKES_BACKEND_SERVER_FAKE_VISIT_H_
#define TESTS_FAKES_BACKEND_SERVER_FAKE_VISIT_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "tests/fakes/backend_server/nested_caller.h"

namespace agaterun::fakes {

// One request that runs: half of its own time, its nested calls one after the
// other, the other half. Runs on one thread.
class FakeVisit : public std::enable_shared_from_this<FakeVisit> {
 public:
  struct Options {
    std::string service;
    std::vector<NestedCall> nested;
    Duration own_time{};
    int fail_status = 0;
    std::size_t response_bytes = 0;  // Padding of the answer.
  };

  using Callback = std::function<void(HttpResponse)>;

  // `caller` may be null when there are no nested calls; it outlives this.
  FakeVisit(asio::io_context& io,
            Options options,
            NestedCaller* caller,
            HttpRequest request);

  // Runs it, and calls `done` with its response.
  void Start(Callback done);

  // Ends it and its nested call; `done` is not called.
  void Cancel();

  const HttpRequest& Request() const { return this->request; }
  // Value of X-Request-Id, or nothing.
  std::string RequestId() const;

 private:
  void Wait(Duration time, std::function<void()> next);
  void CallNext();
  HttpRequest NestedRequest() const;
  void OnNestedAnswer(std::optional<HttpResponse> response);
  void Finish(int status);
  // Time until the deadline that the request named, or nothing.
  std::optional<Duration> TimeLeft() const;

  Options options;
  NestedCaller* caller;
  HttpRequest request;
  Callback done;
  Instant deadline{};  // Zero when the request named none.
  asio::steady_timer timer;
  std::optional<std::uint64_t> nested_call;
  std::size_t nested_done = 0;
  nlohmann::ordered_json nested_answers = nlohmann::ordered_json::array();
  bool ended = false;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_FAKE_VISIT_H_
