#include "libraries/backend_server/backend_client.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <thread>

#include <asio/executor_work_guard.hpp>

#include "tests/backend_server/recording_observer.h"
#include "tests/backend_server/scripted_server.h"

namespace agaterun::backend_server {

namespace {

using decision::BackendFailure;
using decision::VisitId;

class Fixture {
 public:
  explicit Fixture(BackendClient::Options options = {}) {
    options.backend_server = this->server.Address();
    options.probe_interval = 5ms;
    this->client = BackendClient::Create(this->io, options, this->observer);
    for (int i = 0; i < 3; ++i) {
      this->threads.emplace_back([this] { this->io.run(); });
    }
  }

  ~Fixture() {
    this->client.reset();
    this->work.reset();
    for (auto& thread : this->threads) {
      thread.join();
    }
  }

  void Start(std::uint64_t visit) {
    this->client->Start(
        VisitId{0, visit},
        {.method = "GET", .target = "/" + std::to_string(visit)});
  }

  ScriptedServer server;
  RecordingObserver observer;
  asio::io_context io;
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(this->io);
  std::unique_ptr<BackendClient> client;
  std::vector<std::thread> threads;
};

std::string MakeResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

struct TruncationCase {
  std::string name;
  std::string bytes;  // Sent before the connection is closed.
  bool reset = false;
};

std::ostream& operator<<(std::ostream& out, const TruncationCase& row) {
  return out << row.name;
}

const TruncationCase truncation_cases[] = {
    {"no response", ""},
    {"no response and a reset", "", true},
    {"truncated head", "HTTP/1.1 200 OK\r\nContent-"},
    {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"},
    {"truncated body and a reset",
     "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true},
    {"truncated chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
    {"no body length", "HTTP/1.1 200 OK\r\n\r\nab"},
    {"more bytes than announced",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabcdef"},
    {"only an interim response", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"not HTTP", "220 mail ready\r\n\r\n"},
    {"conflicting lengths",
     "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(BackendClientTest)

BOOST_AUTO_TEST_CASE(ReusesMostRecentlyUsedConnection) {
  Fixture fixture;
  fixture.Start(1);
  auto first = fixture.server.Accept();
  fixture.Start(2);
  auto second = fixture.server.Accept();
  first.connection.Send(MakeResponse("one"));
  fixture.observer.WaitForResults(1);
  second.connection.Send(MakeResponse("two"));
  fixture.observer.WaitForResults(2);
  BOOST_TEST(fixture.client->ConnectionCount() == 2);
  fixture.Start(3);
  BOOST_TEST(second.connection.Read().value().target == "/3");
  second.connection.Send(MakeResponse("three"));
  const auto results = fixture.observer.WaitForResults(3);
  BOOST_REQUIRE_EQUAL(results.size(), 3);
  BOOST_TEST(results[0].response->body == "one");
  BOOST_TEST(results[2].response->body == "three");
  BOOST_TEST(results[2].visit.low == 3);
}

BOOST_DATA_TEST_CASE(TruncatedResponseFailsVisit,
                     boost::unit_test::data::make(truncation_cases),
                     row) {
  Fixture fixture;
  fixture.Start(1);
  auto accepted = fixture.server.Accept();
  accepted.connection.Send(row.bytes);
  accepted.connection.Close(row.reset);
  const auto results = fixture.observer.WaitForResults(1);
  BOOST_REQUIRE_EQUAL(results.size(), 1);
  BOOST_TEST((results[0].failure == BackendFailure::kBroken));
  BOOST_TEST(fixture.client->ConnectionCount() == 0);
}

BOOST_AUTO_TEST_CASE(CloseOfReusedConnectionDoesNotResendRequest) {
  Fixture fixture;
  fixture.Start(1);
  auto accepted = fixture.server.Accept();
  accepted.connection.Send(MakeResponse("one"));
  fixture.observer.WaitForResults(1);
  fixture.Start(2);
  BOOST_TEST(accepted.connection.Read().value().target == "/2");
  // The server has read the request, and the client can't tell whether it was
  // executed.
  accepted.connection.Close();
  const auto results = fixture.observer.WaitForResults(2);
  BOOST_REQUIRE_EQUAL(results.size(), 2);
  BOOST_TEST((results[1].failure == BackendFailure::kBroken));
}

BOOST_AUTO_TEST_CASE(ClosedIdleConnectionIsNotReused) {
  Fixture fixture;
  fixture.Start(1);
  auto accepted = fixture.server.Accept();
  accepted.connection.Send(MakeResponse("one"));
  fixture.observer.WaitForResults(1);
  accepted.connection.Close();
  fixture.Start(2);
  auto second = fixture.server.Accept();
  BOOST_TEST(second.request.target == "/2");
  second.connection.Send(MakeResponse("two"));
  BOOST_TEST(fixture.observer.WaitForResults(2)[1].response->body == "two");
}

BOOST_AUTO_TEST_CASE(UnsolicitedResponseIsDiscarded) {
  Fixture fixture;
  fixture.Start(1);
  auto accepted = fixture.server.Accept();
  accepted.connection.Send(MakeResponse("one"));
  fixture.observer.WaitForResults(1);
  accepted.connection.Send(MakeResponse("stray"));
  fixture.Start(2);
  auto second = fixture.server.Accept();
  second.connection.Send(MakeResponse("two"));
  BOOST_TEST(fixture.observer.WaitForResults(2)[1].response->body == "two");
}

BOOST_AUTO_TEST_CASE(RepeatedAbortReportsOneFailure) {
  Fixture fixture;
  fixture.Start(1);
  auto accepted = fixture.server.Accept();
  fixture.client->Abort(VisitId{0, 1});
  fixture.client->Abort(VisitId{0, 1});
  fixture.client->Abort(VisitId{0, 99});
  BOOST_TEST(accepted.connection.IsClosedByClient());
  accepted.connection.Send(MakeResponse("late"));
  fixture.Start(2);
  auto second = fixture.server.Accept();
  second.connection.Send(MakeResponse("two"));
  const auto results = fixture.observer.WaitForResults(2);
  BOOST_REQUIRE_EQUAL(results.size(), 2);
  BOOST_TEST((results[0].failure == BackendFailure::kAborted));
  BOOST_TEST(results[1].response->body == "two");
}

BOOST_AUTO_TEST_CASE(RefusedConnectionReportsUnreachableUntilListening) {
  Fixture fixture;
  fixture.server.StopListening();
  fixture.Start(1);
  const auto results = fixture.observer.WaitForResults(1);
  BOOST_REQUIRE_EQUAL(results.size(), 1);
  BOOST_TEST((results[0].failure == BackendFailure::kNotSent));
  BOOST_TEST(!fixture.observer.WaitForReachabilityChanges(1).back());
  fixture.server.Listen();
  const auto changes = fixture.observer.WaitForReachabilityChanges(2);
  BOOST_REQUIRE_EQUAL(changes.size(), 2);
  BOOST_TEST(changes.back());
}

BOOST_AUTO_TEST_CASE(SimultaneousResetsReportUnreachableDespiteListener) {
  Fixture fixture({.break_window = 10s});
  fixture.Start(1);
  auto first = fixture.server.Accept();
  fixture.Start(2);
  auto second = fixture.server.Accept();
  first.connection.Close(true);
  second.connection.Close(true);
  const auto changes = fixture.observer.WaitForReachabilityChanges(2);
  BOOST_REQUIRE_EQUAL(changes.size(), 2);
  BOOST_TEST(!changes[0]);
  BOOST_TEST(changes[1]);
  BOOST_TEST(fixture.observer.WaitForResults(2).size() == 2);
}

BOOST_AUTO_TEST_CASE(HeadResponseIsCompleteWithoutBody) {
  Fixture fixture;
  fixture.client->Start(VisitId{0, 1}, {.method = "HEAD", .target = "/"});
  auto accepted = fixture.server.Accept();
  accepted.connection.Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  BOOST_TEST(fixture.observer.WaitForResults(1)[0].response->status == 200);
}

BOOST_AUTO_TEST_CASE(ResponseBeforeEndOfRequestClosesConnection) {
  Fixture fixture;
  fixture.client->Start(VisitId{0, 1},
                        {.method = "POST",
                         .target = "/",
                         .body = std::string(8 * 1024 * 1024, 'a')});
  // The server leaves the request unread, because it exceeds the limit of its
  // parser.
  ScriptedConnection accepted = fixture.server.AcceptConnection();
  while (accepted.ClosesWithoutRequest()) {
    accepted = fixture.server.AcceptConnection();
  }
  accepted.Send("HTTP/1.1 413 Too Long\r\nContent-Length: 0\r\n\r\n");
  const auto results = fixture.observer.WaitForResults(1);
  BOOST_REQUIRE_EQUAL(results.size(), 1);
  BOOST_TEST(results[0].response->status == 413);
  BOOST_TEST(fixture.client->ConnectionCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::backend_server
