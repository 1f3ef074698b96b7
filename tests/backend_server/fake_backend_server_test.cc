#include "tests/fakes/backend_server/fake_backend_server.h"

#include <asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <future>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "tests/backend_server/recording_observer.h"
#include "tests/backend_server/scripted_server.h"

namespace agaterun::fakes {

namespace {

using backend_server::BackendClient;

// A fake backend server and a client connected to it, both on one thread.
class FakeFixture {
 public:
  explicit FakeFixture(FakeBackendServer::Options options) {
    options.listen = {.ip = 0x7f000001, .port = 0};
    this->fake =
        FakeBackendServer::Create(this->io, std::move(options)).value();
    this->client = BackendClient::Create(
        this->io, {.backend_server = this->fake->Address()}, this->observer);
    this->thread = std::thread([this] { this->io.run(); });
  }

  ~FakeFixture() {
    this->io.stop();
    this->thread.join();
  }

  void Start(std::uint64_t visit,
             const std::string& target,
             const std::string& body = "") {
    this->client->Start({0, visit},
                        {.method = body.empty() ? "GET" : "POST",
                         .target = target,
                         .headers = {{"X-Request-Id", std::to_string(visit)}},
                         .body = body});
  }

  // Waits until `count` requests are running. False if that does not happen
  // within 10,000 checks, 1 ms apart.
  bool WaitForRunning(std::size_t count) {
    constexpr int kAttempts = 10'000;
    for (int i = 0; i < kAttempts; ++i) {
      std::promise<std::size_t> running;
      asio::post(this->io,
                 [&] { running.set_value(this->fake->RunningCount()); });
      if (running.get_future().get() == count) {
        return true;
      }
      std::this_thread::sleep_for(1ms);
    }
    return false;
  }

  asio::io_context io;
  backend_server::RecordingObserver observer;
  std::unique_ptr<FakeBackendServer> fake;
  std::unique_ptr<BackendClient> client;
  std::thread thread;
};

FakeBehavior ZeroServiceTime() {
  return {.service_ms = 0};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FakeBackendServerTest)

BOOST_AUTO_TEST_CASE(ResponseContainsRequestId) {
  FakeFixture fixture({.service = "vault", .behavior = ZeroServiceTime()});
  fixture.Start(7, "/a");
  const auto results = fixture.observer.WaitForResults(1);
  BOOST_REQUIRE(results.at(0).response);
  const auto body = nlohmann::json::parse(results[0].response->body);
  BOOST_TEST(body["request_id"] == "7");
  BOOST_TEST(body["service"] == "vault");
}

BOOST_AUTO_TEST_CASE(RequestsBeyondSlotsAreQueuedAndCounted) {
  FakeFixture fixture(
      {.behavior = {
           .service_ms = 5, .distribution = Distribution::kFixed, .slots = 2}});
  constexpr int kRequests = 6;
  for (int i = 1; i <= kRequests; ++i) {
    fixture.Start(i, "/a", "body");
  }
  BOOST_TEST(fixture.observer.WaitForResults(kRequests).size() == kRequests);
  fixture.Start(100, "/control/stats");
  fixture.Start(101, "/control/executions");
  const auto results = fixture.observer.WaitForResults(kRequests + 2);
  BOOST_REQUIRE_EQUAL(results.size(), kRequests + 2);
  nlohmann::json stats;
  nlohmann::json executions;
  for (const auto& result : results) {
    if (result.visit.low == 100) {
      stats = nlohmann::json::parse(result.response->body);
    } else if (result.visit.low == 101) {
      executions = nlohmann::json::parse(result.response->body);
    }
  }
  BOOST_TEST(stats["completed"] == kRequests);
  BOOST_TEST(stats["busy_slot_ms"].get<double>() >= 5 * kRequests);
  BOOST_TEST(executions.size() == kRequests);
  BOOST_TEST(executions["3"] == 1);
}

BOOST_AUTO_TEST_CASE(ResetMidBodyTruncatesResponse) {
  FakeFixture fixture({.behavior = ZeroServiceTime()});
  fixture.Start(1, "/control", R"({"reset_mid_body": true})");
  fixture.observer.WaitForResults(1);
  fixture.Start(2, "/a");
  const auto results = fixture.observer.WaitForResults(2);
  BOOST_REQUIRE_EQUAL(results.size(), 2);
  BOOST_TEST((results[1].failure == decision::BackendFailure::kBroken));
}

BOOST_AUTO_TEST_CASE(UnknownControlFieldIsRejected) {
  FakeFixture fixture({.behavior = ZeroServiceTime()});
  fixture.Start(1, "/control", R"({"slots": 5, "sllots": 3})");
  BOOST_TEST(fixture.observer.WaitForResults(1).at(0).response->status == 400);
}

BOOST_AUTO_TEST_CASE(AbortedVisitReleasesItsSlot) {
  FakeFixture fixture({.behavior = {.service_ms = 60'000,
                                    .distribution = Distribution::kFixed,
                                    .slots = 1}});
  fixture.Start(1, "/a");
  BOOST_REQUIRE(fixture.WaitForRunning(1));
  fixture.Start(2, "/control", R"({"service_ms": 0})");
  fixture.observer.WaitForResults(1);
  fixture.Start(3, "/a");
  fixture.client->Abort({0, 1});
  const auto results = fixture.observer.WaitForResults(3);
  BOOST_REQUIRE_EQUAL(results.size(), 3);
  BOOST_TEST(results[2].visit.low == 3);
  BOOST_TEST(results[2].response->status == 200);
}

BOOST_AUTO_TEST_CASE(MatchingRequestCausesCrash) {
  std::atomic<int> crashes = 0;
  FakeFixture fixture(
      {.behavior = {.crash_on = "poison"}, .crash = [&crashes] { ++crashes; }});
  fixture.Start(1, "/poison/x");
  while (crashes == 0) {
    std::this_thread::yield();
  }
  BOOST_TEST(crashes == 1);
}

BOOST_AUTO_TEST_CASE(NestedCallKeepsTraceHeaders) {
  backend_server::ScriptedServer node;
  FakeFixture fixture({.behavior = ZeroServiceTime(),
                       .nested = ReadNestedCalls("POST:deep/y"),
                       .nested_address = node.Address()});
  const HttpHeaders sent = {{"X-Request-Id", "1"},
                            {"traceparent", "00-1-2-01"},
                            {"tracestate", "agaterun=5,x=1"},
                            {"Agaterun-Timeout-Ms", "60000"}};
  fixture.client->Start({0, 1},
                        {.method = "GET", .target = "/a", .headers = sent});
  auto [connection, request] = node.Accept();
  BOOST_TEST(request.method == "POST");
  BOOST_TEST(request.target == "/deep/y?for=1.1");
  BOOST_TEST(*FindHeader(request.headers, "X-Request-Id") == "1.1");
  for (const std::string_view name : {"traceparent", "tracestate"}) {
    BOOST_TEST(*FindHeader(request.headers, name) == *FindHeader(sent, name));
  }
  BOOST_TEST(std::stoi(*FindHeader(request.headers, "Agaterun-Timeout-Ms")) <=
             60000);
  connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"a\":1}");
  const auto results = fixture.observer.WaitForResults(1);
  BOOST_REQUIRE(results.at(0).response);
  const auto body = nlohmann::json::parse(results[0].response->body);
  BOOST_TEST(body["nested"].at(0)["a"] == 1);
}

BOOST_AUTO_TEST_CASE(FailedNestedCallReturnsBadGateway) {
  FakeFixture deep({.behavior = {.service_ms = 0, .fail_status = 500}});
  FakeFixture fixture({.behavior = ZeroServiceTime(),
                       .nested = ReadNestedCalls("deep/x"),
                       .nested_address = deep.fake->Address()});
  fixture.Start(1, "/a");
  BOOST_TEST(fixture.observer.WaitForResults(1).at(0).response->status == 502);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::fakes
