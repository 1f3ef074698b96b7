#include "libraries/proxy/endpoint_pool.h"

#include <boost/test/unit_test.hpp>

#include "tests/fakes/free_port.h"
#include "tests/fakes/raw_server.h"
#include "tests/fakes/run_until.h"
#include "tests/proxy/recording_observer.h"

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(EndpointPoolTest)

using calls::ExchangeResult;
using fakes::RawServer;
using End = RawServer::ScriptedResponse::End;

std::string Response(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nId: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string IdIn(const std::string& head) {
  const auto start = head.find("Id: ") + 4;
  return head.substr(start, head.find("\r\n", start) - start);
}

struct Fixture {
  void Serve(RawServer::Script script) {
    this->server = std::make_unique<RawServer>(this->io, std::move(script));
    this->MakePool(this->server->Address());
  }

  void MakePool(NodeAddress address) {
    this->pool = std::make_unique<EndpointPool>(
        this->io,
        EndpointPool::Options{.backend_server = address,
                              .request_id_header = "Id"},
        this->observer);
  }

  void Start(calls::VisitNumber visit, bool idempotent = true) {
    const auto id = std::to_string(visit);
    this->pool->Start(
        {.visit = visit,
         .bytes = "GET / HTTP/1.1\r\nHost: a\r\nId: " + id + "\r\n\r\n",
         .request_id = id,
         .idempotent = idempotent});
  }

  const RecordingObserver::Ended& Run(calls::VisitNumber visit) {
    this->Start(visit);
    BOOST_TEST_REQUIRE(fakes::RunUntil(
        this->io, [&] { return this->observer.ended.contains(visit); }));
    return this->observer.ended.at(visit);
  }

  asio::io_context io{1};
  RecordingObserver observer;
  std::unique_ptr<RawServer> server;
  std::unique_ptr<EndpointPool> pool;
};

BOOST_FIXTURE_TEST_CASE(SequentialRequestsReuseConnection, Fixture) {
  this->Serve([](const std::string& head) {
    return RawServer::ScriptedResponse{Response(IdIn(head), "whole")};
  });
  for (calls::VisitNumber visit = 1; visit <= 5; ++visit) {
    const auto& ended = this->Run(visit);
    BOOST_TEST((ended.end == ExchangeResult::kResponded));
    BOOST_TEST(ended.answer->body == "whole");
  }
  BOOST_TEST(this->server->Connections() == 1);
}

// Covers the responses that a faulty backend server may send. A partial
// response or one to another request must not be taken as the response to this
// request.
BOOST_FIXTURE_TEST_CASE(AcceptsOnlyCompleteMatchingResponses, Fixture) {
  struct Row {
    const char* description;
    std::function<RawServer::ScriptedResponse(const std::string&)> script;
    ExchangeResult end;
    const char* body;
  };
  const Row rows[] = {
      {"cut off",
       [](const std::string& id) {
         auto bytes = Response(id, "whole");
         bytes.resize(bytes.size() - 2);
         return RawServer::ScriptedResponse{bytes, End::kClose};
       },
       ExchangeResult::kBroken, ""},
      {"no response at all",
       [](const std::string&) {
         return RawServer::ScriptedResponse{"nonsense\r\n\r\n", End::kClose};
       },
       ExchangeResult::kBroken, ""},
      {"closed without a byte",
       [](const std::string&) {
         return RawServer::ScriptedResponse{"", End::kClose};
       },
       ExchangeResult::kBroken, ""},
      {"without a length, closed orderly",
       [](const std::string& id) {
         return RawServer::ScriptedResponse{
             "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nwhole", End::kClose};
       },
       ExchangeResult::kResponded, "whole"},
      {"without a length, reset",
       [](const std::string& id) {
         return RawServer::ScriptedResponse{
             "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\nwhole", End::kReset};
       },
       ExchangeResult::kBroken, ""},
      {"a response to another request first",
       [](const std::string& id) {
         return RawServer::ScriptedResponse{Response("other", "foreign") +
                                            Response(id, "whole")};
       },
       ExchangeResult::kResponded, "whole"},
      {"a second response after it",
       [](const std::string& id) {
         return RawServer::ScriptedResponse{Response(id, "whole") +
                                            Response(id, "again")};
       },
       ExchangeResult::kResponded, "whole"},
      {"a success without an id",
       [](const std::string&) {
         return RawServer::ScriptedResponse{
             "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", End::kClose};
       },
       ExchangeResult::kBroken, ""},
      {"a rejection without an id on a kept connection",
       [](const std::string&) {
         return RawServer::ScriptedResponse{
             "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"};
       },
       ExchangeResult::kBroken, ""},
  };
  calls::VisitNumber visit = 0;
  std::function<RawServer::ScriptedResponse(const std::string&)> script;
  this->Serve([&](const std::string& head) { return script(IdIn(head)); });
  for (const auto& row : rows) {
    script = row.script;
    const auto& ended = this->Run(++visit);
    BOOST_TEST((ended.end == row.end), row.description);
    BOOST_TEST((ended.answer ? ended.answer->body : "") == row.body,
               row.description);
    // After each of them, the next request gets its own response.
    script = [](const std::string& id) {
      return RawServer::ScriptedResponse{Response(id, "next")};
    };
    const auto& next = this->Run(++visit);
    BOOST_TEST_REQUIRE((next.end == ExchangeResult::kResponded),
                       row.description);
    BOOST_TEST(next.answer->body == "next", row.description);
  }
}

// Guards against a refusal that a faulty backend server writes once more on a
// kept connection: taken for the response to the next request, it would say
// that a request did not run which is running.
BOOST_FIXTURE_TEST_CASE(RepeatedRefusalIsNoResponseToTheNextRequest, Fixture) {
  for (const std::string repeated_id : {"", "Id: 1\r\n"}) {
    BOOST_TEST_CONTEXT("repeated with '" << repeated_id << "'") {
      this->observer.ended.clear();
      const std::string refusal = "HTTP/1.1 503 No\r\n" + repeated_id +
                                  "Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
      int requests = 0;
      this->Serve([&](const std::string& head) {
        const bool is_first = ++requests == 1;
        return RawServer::ScriptedResponse{
            is_first ? refusal : refusal + Response(IdIn(head), "whole")};
      });
      BOOST_TEST(this->Run(1).answer->status == 503);
      // Without an id, it could also be the response, so the outcome is
      // unknown.
      const auto& next = this->Run(2);
      const bool has_id = !repeated_id.empty();
      BOOST_TEST((next.end == (has_id ? ExchangeResult::kResponded
                                      : ExchangeResult::kBroken)));
      BOOST_TEST((has_id ? next.answer->status == 200 : !next.answer));
      // The connection can't be trusted any more.
      this->Run(3);
      BOOST_TEST(this->server->Connections() == 2);
    }
  }
}

// Guards against a response whose head ends early and that is taken for a whole
// one with an empty or a short body.
BOOST_FIXTURE_TEST_CASE(ResponseThatEndsInItsHeadIsBroken, Fixture) {
  const auto whole = Response("1", "body");
  const auto head_bytes = whole.find("\r\n\r\n") + 4;
  for (std::size_t bytes = 1; bytes < head_bytes; ++bytes) {
    BOOST_TEST_CONTEXT("after " << bytes << " bytes") {
      this->observer.ended.clear();
      this->Serve([&](const std::string&) {
        return RawServer::ScriptedResponse{whole.substr(0, bytes), End::kClose};
      });
      BOOST_TEST((this->Run(1).end == ExchangeResult::kBroken));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(RefusedConnectionReportsNotSent, Fixture) {
  this->MakePool(fakes::FreeAddress(0x7f000001));
  BOOST_TEST((this->Run(1).end == ExchangeResult::kNotSent));
  BOOST_TEST(!this->observer.reachable);
}

BOOST_FIXTURE_TEST_CASE(ProbeDetectsRestartedBackendServer, Fixture) {
  const auto address = fakes::FreeAddress(0x7f000001);
  this->MakePool(address);
  BOOST_TEST((this->Run(1).end == ExchangeResult::kNotSent));
  asio::ip::tcp::acceptor acceptor(
      this->io,
      asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), address.port));
  BOOST_TEST(
      fakes::RunUntil(this->io, [&] { return this->observer.reachable; }));
}

// Failure: a crash was noticed by the next request only. Under load, callers'
// nodes avoid a backend server whose exchanges broke, so that came a second
// later, and no request was suspected.
BOOST_FIXTURE_TEST_CASE(CrashIsNoticedWithoutAnotherRequest, Fixture) {
  using asio::ip::tcp;
  tcp::acceptor acceptor(this->io,
                         tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  tcp::socket accepted(this->io);
  bool is_accepted = false;
  acceptor.async_accept(
      accepted, [&](const std::error_code& error) { is_accepted = !error; });
  this->MakePool({.ip = asio::ip::address_v4::loopback().to_uint(),
                  .port = acceptor.local_endpoint().port()});
  this->Start(1);
  BOOST_TEST_REQUIRE(fakes::RunUntil(this->io, [&] { return is_accepted; }));
  acceptor.close();
  accepted.close();
  BOOST_TEST(
      fakes::RunUntil(this->io, [&] { return !this->observer.reachable; }));
  BOOST_TEST((this->observer.ended.at(1).end == ExchangeResult::kBroken));
}

// Failure: a backend server that closes its connections before it stops
// accepting new ones passed the first probe.
BOOST_FIXTURE_TEST_CASE(CrashAfterFirstProbeIsNoticed, Fixture) {
  using asio::ip::tcp;
  auto acceptor = std::make_unique<tcp::acceptor>(
      this->io, tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  // The listen queue accepts connections as long as the acceptor is open.
  this->MakePool({.ip = asio::ip::address_v4::loopback().to_uint(),
                  .port = acceptor->local_endpoint().port()});
  this->Start(1);
  tcp::socket accepted(this->io);
  bool is_accepted = false;
  acceptor->async_accept(
      accepted, [&](const std::error_code& error) { is_accepted = !error; });
  BOOST_TEST_REQUIRE(fakes::RunUntil(this->io, [&] { return is_accepted; }));
  accepted.close();
  BOOST_TEST_REQUIRE(fakes::RunUntil(
      this->io, [&] { return this->pool->ConnectionsOpened() == 2; }));
  acceptor.reset();
  BOOST_TEST(
      fakes::RunUntil(this->io, [&] { return !this->observer.reachable; }));
}

BOOST_FIXTURE_TEST_CASE(AbortedExchangeIsNotReported, Fixture) {
  this->Serve([](const std::string&) { return RawServer::ScriptedResponse{}; });
  this->Start(1);
  BOOST_TEST_REQUIRE(fakes::RunUntil(
      this->io, [&] { return this->server->RequestHeads().size() == 1; }));
  this->pool->Abort(1);
  this->Start(2);
  BOOST_TEST_REQUIRE(fakes::RunUntil(
      this->io, [&] { return this->server->RequestHeads().size() == 2; }));
  BOOST_TEST(this->observer.ended.empty());
  BOOST_TEST(this->server->Connections() == 2);
}

BOOST_FIXTURE_TEST_CASE(HonorsAdvertisedIdleTimeout, Fixture) {
  this->Serve([](const std::string& head) {
    auto bytes = Response(IdIn(head), "whole");
    bytes.insert(bytes.find("Id:"), "Keep-Alive: timeout=0\r\n");
    return RawServer::ScriptedResponse{bytes};
  });
  this->Run(1);
  this->Run(2);
  BOOST_TEST(this->server->Connections() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
