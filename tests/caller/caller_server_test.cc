#include "libraries/caller/caller_server.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

#include "libraries/base/random.h"
#include "tests/caller/server_fixture.h"

namespace agaterun::caller {

namespace {

std::string Header(const HttpResponse& response, std::string_view name) {
  const std::string* value = FindHeader(response.headers, name);
  return value ? *value : "";
}

struct RejectedCase {
  std::string name;
  std::string bytes;
  int status = 400;
};

std::ostream& operator<<(std::ostream& out, const RejectedCase& row) {
  return out << row.name;
}

const RejectedCase rejected_cases[] = {
    {"smuggled length",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\n\r\n"},
    {"bare LF", "GET /a HTTP/1.1\nHost: h\n\n"},
    {"no HTTP", "hello\r\n\r\n"},
    {"oversized headers", Get("/a", "X: " + std::string(2000, 'a') + "\r\n"),
     431},
    {"oversized body",
     "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" +
         std::string(2000, 'a'),
     413},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CallerServerTest)

BOOST_AUTO_TEST_CASE(KeepAliveConnectionServesSequentialRequests) {
  ServerFixture fixture({.nested = true});
  RawCaller caller = fixture.Connect();
  for (const std::string body : {"one", "two"}) {
    caller.Send(Get("/drafts/" + body));
    const auto call = fixture.observer.Next();
    BOOST_REQUIRE(call);
    BOOST_TEST(call->nested);
    BOOST_TEST(call->request.target == "/drafts/" + body);
    fixture.server->Answer(call->call, {.status = 200, .body = body});
    const auto response = caller.Read();
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body == body);
    BOOST_TEST(caller.KeptAlive());
  }
  BOOST_TEST(fixture.server->ConnectionCount() == 1);
}

BOOST_DATA_TEST_CASE(InvalidRequestGetsRemedyAndClose,
                     boost::unit_test::data::make(rejected_cases),
                     row) {
  ServerFixture fixture({.limits = {.header_bytes = 1000, .body_bytes = 1000}});
  RawCaller caller = fixture.Connect();
  caller.Send(row.bytes);
  const auto response = caller.Read();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status == row.status);
  BOOST_TEST(Header(*response, "Agaterun-Outcome") == "not-run");
  BOOST_TEST(response->body.find("remedy") != std::string::npos);
  BOOST_TEST(caller.ReadsEnd());
  BOOST_TEST(fixture.call_ids == 0);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestsGetResponsesInOrder) {
  ServerFixture fixture;
  RawCaller caller = fixture.Connect();
  constexpr int kRequests = 50;
  std::string bytes;
  for (int i = 0; i < kRequests; ++i) {
    bytes += Get("/a/" + std::to_string(i));
  }
  caller.Send(bytes);
  for (int i = 0; i < kRequests; ++i) {
    const auto call = fixture.observer.Next();
    BOOST_REQUIRE(call);
    BOOST_TEST(call->request.target == "/a/" + std::to_string(i));
    fixture.server->Answer(call->call,
                           {.status = 200, .body = call->request.target});
  }
  for (int i = 0; i < kRequests; ++i) {
    BOOST_TEST(caller.Read().value().body == "/a/" + std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(PipelinedRequestWaitsForPreviousResponse) {
  ServerFixture fixture;
  RawCaller caller = fixture.Connect();
  caller.Send(Get("/first"));
  const auto first = fixture.observer.Next();
  BOOST_REQUIRE(first);
  caller.Send(Get("/second"));
  // If the second request were passed on now, its response could overtake the
  // first one.
  BOOST_TEST(!fixture.observer.Next(50ms));
  fixture.server->Answer(first->call, {.status = 200, .body = "1"});
  BOOST_TEST(caller.Read().value().body == "1");
  const auto second = fixture.observer.Next();
  BOOST_REQUIRE(second);
  fixture.server->Answer(second->call, {.status = 200, .body = "2"});
  BOOST_TEST(caller.Read().value().body == "2");
}

BOOST_AUTO_TEST_CASE(ResponsesInRandomOrderReachTheirCallers) {
  ServerFixture fixture;
  constexpr std::uint64_t kSeed = 7;
  constexpr int kCallers = 40;
  constexpr int kRounds = 20;
  SeededRandom random(kSeed);
  std::deque<RawCaller> callers;
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back(fixture.server->Address());
  }
  for (int round = 0; round < kRounds; ++round) {
    for (int i = 0; i < kCallers; ++i) {
      callers[i].Send(Get("/" + std::to_string(round * kCallers + i)));
    }
    std::vector<RecordedCall> calls;
    for (int i = 0; i < kCallers; ++i) {
      calls.push_back(fixture.observer.Next().value());
    }
    while (!calls.empty()) {
      std::swap(calls[random.Below(calls.size())], calls.back());
      fixture.server->Answer(
          calls.back().call,
          {.status = 200, .body = calls.back().request.target});
      // A second response to the same call must be dropped.
      fixture.server->Answer(calls.back().call, {.status = 200, .body = "x"});
      calls.pop_back();
    }
    for (int i = 0; i < kCallers; ++i) {
      BOOST_REQUIRE_EQUAL(callers[i].Read().value().body,
                          "/" + std::to_string(round * kCallers + i));
    }
  }
}

BOOST_AUTO_TEST_CASE(DisconnectBeforeResponseIsReportedOnce) {
  for (const bool reset : {false, true}) {
    ServerFixture fixture;
    RawCaller caller = fixture.Connect();
    caller.Send(Get("/a"));
    const auto call = fixture.observer.Next();
    BOOST_REQUIRE(call);
    if (reset) {
      caller.Reset();
    } else {
      caller.EndSending();
    }
    BOOST_REQUIRE(fixture.observer.WaitForDisconnects(1));
    // A response after the disconnect must be dropped.
    fixture.server->Answer(call->call, {.status = 200, .body = "late"});
    RawCaller other = fixture.Connect();
    other.Send(Get("/b"));
    const auto second = fixture.observer.Next();
    BOOST_REQUIRE(second);
    fixture.server->Answer(second->call, {.status = 200, .body = "own"});
    BOOST_TEST(other.Read().value().body == "own");
    BOOST_TEST(fixture.observer.DisconnectedCalls() ==
                   std::vector<decision::CallId>{call->call},
               boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(DisconnectAfterResponseIsNotReported) {
  ServerFixture fixture;
  RawCaller caller = fixture.Connect();
  caller.Send(Get("/a"));
  fixture.server->Answer(fixture.observer.Next()->call, {.status = 200});
  BOOST_TEST(caller.Read().has_value());
  caller.Reset();
  while (fixture.server->ConnectionCount() > 0) {
    std::this_thread::yield();
  }
  BOOST_TEST(fixture.observer.DisconnectedCalls().empty());
}

BOOST_AUTO_TEST_CASE(IncompleteRequestTimesOut) {
  ServerFixture fixture({.header_timeout = 30ms});
  RawCaller caller = fixture.Connect();
  caller.Send("GET /a HTTP/1.1\r\nHost");
  const auto response = caller.Read();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status == 408);
  BOOST_TEST(caller.ReadsEnd());
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosed) {
  ServerFixture fixture({.idle_timeout = 30ms});
  RawCaller caller = fixture.Connect();
  BOOST_TEST(caller.ReadsEnd());
}

BOOST_AUTO_TEST_CASE(ConnectionAboveLimitGets503) {
  ServerFixture fixture({.connections = 2});
  RawCaller first = fixture.Connect();
  RawCaller second = fixture.Connect();
  RawCaller third = fixture.Connect();
  const auto response = third.Read();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->status == 503);
  BOOST_TEST(Header(*response, "Agaterun-Outcome") == "not-run");
  BOOST_TEST(third.ReadsEnd());
  first.Send(Get("/a"));
  fixture.server->Answer(fixture.observer.Next()->call, {.status = 200});
  BOOST_TEST(first.Read().has_value());
}

BOOST_AUTO_TEST_CASE(StopAcceptingCompletesRequestsInFlight) {
  ServerFixture fixture;
  RawCaller busy = fixture.Connect();
  RawCaller idle = fixture.Connect();
  RawCaller partial = fixture.Connect();
  busy.Send(Get("/busy"));
  const auto call = fixture.observer.Next();
  BOOST_REQUIRE(call);
  // The response to the first request proves that the server has read the
  // start of the second one before the stop.
  partial.Send(Get("/first") + "GET /partial HTTP/1.1\r\n");
  fixture.server->Answer(fixture.observer.Next()->call, {.status = 200});
  BOOST_REQUIRE(partial.Read());
  fixture.server->StopAccepting();
  BOOST_TEST(idle.ReadsEnd());
  fixture.server->Answer(call->call, {.status = 200, .body = "whole"});
  const auto response = busy.Read();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body == "whole");
  BOOST_TEST(!busy.KeptAlive());
  partial.Send("Host: h\r\n\r\n");
  const auto late = fixture.observer.Next();
  BOOST_REQUIRE(late);
  fixture.server->Answer(late->call, {.status = 503});
  BOOST_TEST(partial.Read().value().status == 503);
  BOOST_TEST(!partial.KeptAlive());
  BOOST_CHECK_THROW(fixture.Connect(), std::system_error);
}

BOOST_AUTO_TEST_CASE(HeadResponseHasNoBody) {
  ServerFixture fixture;
  RawCaller caller = fixture.Connect();
  caller.Send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + Get("/b"));
  fixture.server->Answer(fixture.observer.Next()->call,
                         {.status = 204, .body = "none"});
  fixture.server->Answer(fixture.observer.Next()->call,
                         {.status = 200, .body = "second"});
  BOOST_TEST(caller.Read().value().body.empty());
  BOOST_TEST(caller.Read().value().body == "second");
}

BOOST_AUTO_TEST_CASE(ExpectContinueRequestIsServed) {
  ServerFixture fixture;
  RawCaller caller = fixture.Connect();
  caller.Send(
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 2\r\n\r\n");
  // Read skips the interim response and returns the final one.
  caller.Send("ab");
  const auto call = fixture.observer.Next();
  BOOST_REQUIRE(call);
  BOOST_TEST(call->request.body == "ab");
  fixture.server->Answer(call->call, {.status = 200});
  BOOST_TEST(caller.Read().value().status == 200);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::caller
