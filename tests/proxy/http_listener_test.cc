#include "libraries/proxy/http_listener.h"

#include <array>
#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <map>

#include "tests/fakes/free_port.h"
#include "tests/fakes/run_until.h"

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(HttpListenerTest)

class RecordingSink final : public RequestSink {
 public:
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 NodeAddress /*caller*/) override {
    this->requests[call] = std::move(request);
  }
  void OnCallerDisconnected(decision::CallId call) override {
    this->disconnected.push_back(call);
  }

  std::map<decision::CallId, HttpRequest> requests;
  std::vector<decision::CallId> disconnected;
};

// A caller that sends raw bytes and collects the received ones.
class RawCaller {
 public:
  RawCaller(asio::io_context& io, NodeAddress address) : socket(io) {
    this->socket.connect({asio::ip::address_v4(address.ip), address.port});
    this->Read();
  }

  void Send(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }
  void Close() { this->socket.close(); }
  void PauseReading() { this->is_paused = true; }
  void ResumeReading() {
    this->is_paused = false;
    this->Read();
  }

  std::string received;
  bool ended = false;

 private:
  void Read() {
    this->socket.async_read_some(
        asio::buffer(this->input),
        [this](const std::error_code& error, std::size_t count) {
          if (error) {
            this->ended = true;
            return;
          }
          this->received.append(this->input.data(), count);
          if (!this->is_paused) {
            this->Read();
          }
        });
  }

  asio::ip::tcp::socket socket;
  std::array<char, 4096> input{};
  bool is_paused = false;
};

struct Fixture {
  Fixture() { BOOST_TEST_REQUIRE(this->listener.Listen().has_value()); }

  bool Until(const std::function<bool()>& done) {
    return fakes::RunUntil(this->io, done);
  }

  asio::io_context io{1};
  NodeAddress address = fakes::FreeAddress(0x7f000001);
  decision::CallId call_ids = 1;
  RecordingSink sink;
  HttpListener listener{this->io,
                        {.listen = this->address,
                         .limits = {.header_bytes = 500, .body_bytes = 100},
                         .header_timeout = 100ms,
                         .idle_timeout = 400ms},
                        this->call_ids,
                        this->sink};
};

BOOST_FIXTURE_TEST_CASE(RespondsToPipelinedRequestsInOrder, Fixture) {
  RawCaller caller(this->io, this->address);
  caller.Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 3; }));
  BOOST_TEST(this->sink.requests.at(3).body == "abc");
  this->listener.Respond(3, {.status = 203});
  this->listener.Respond(2, {.status = 202});
  this->listener.Respond(1, {.status = 201});
  BOOST_TEST(this->Until(
      [&] { return caller.received.find(" 203 ") != std::string::npos; }));
  BOOST_TEST(caller.received.find(" 201 ") < caller.received.find(" 202 "));
  BOOST_TEST(caller.received.find(" 202 ") < caller.received.find(" 203 "));
}

BOOST_FIXTURE_TEST_CASE(DisconnectReportsEachRequestInFlight, Fixture) {
  RawCaller caller(this->io, this->address);
  caller.Send(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 2; }));
  caller.Close();
  BOOST_TEST(this->Until([&] { return this->sink.disconnected.size() == 2; }));
  BOOST_TEST(this->listener.ConnectionCount() == 0U);
  this->listener.Respond(1, {.status = 200});
}

BOOST_FIXTURE_TEST_CASE(RejectsOversizedAndMalformedRequests, Fixture) {
  const std::pair<std::string, const char*> rows[] = {
      {"nonsense\r\n\r\n", " 400 "},
      {"GET / HTTP/1.1\r\n\r\n", " 400 "},
      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
       " 431 "},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n", " 413 "},
      {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
       "Transfer-Encoding: chunked\r\n\r\n",
       " 400 "},
  };
  for (const auto& [bytes, status] : rows) {
    RawCaller caller(this->io, this->address);
    caller.Send(bytes);
    BOOST_TEST(this->Until([&] { return caller.ended; }), bytes);
    BOOST_TEST((caller.received.find(status) != std::string::npos),
               caller.received);
  }
  BOOST_TEST(this->sink.requests.empty());
}

// Failure: connections from before the first configuration, or from before one
// that raised the limits, refused proper requests for as long as they lived.
BOOST_FIXTURE_TEST_CASE(NewLimitsApplyToOpenConnections, Fixture) {
  const std::string long_request =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 150\r\n\r\n" +
      std::string(150, 'b');
  const std::string long_head =
      "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n";
  RawCaller caller(this->io, this->address);
  caller.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  this->listener.SetLimits({.header_bytes = 1000, .body_bytes = 200}, 100ms,
                           400ms);
  // The first response is still due.
  caller.Send(long_request + long_head);
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 3; }));
  // They may also become lower.
  this->listener.SetLimits({.header_bytes = 500, .body_bytes = 100}, 100ms,
                           400ms);
  caller.Send(long_request);
  for (decision::CallId call = 1; call <= 3; ++call) {
    this->listener.Respond(call, {.status = 200});
  }
  BOOST_TEST(this->Until([&] { return caller.ended; }));
  BOOST_TEST((caller.received.find(" 413 ") != std::string::npos));
  BOOST_TEST(this->sink.requests.size() == 3U);
}

// Failure: a node without a configuration rejected proper requests for good, by
// built-in limits, where it refuses all others as unavailable.
BOOST_FIXTURE_TEST_CASE(UnknownLimitsRejectNoRequestForGood, Fixture) {
  const auto other_address = fakes::FreeAddress(0x7f000001);
  HttpListener unconfigured{this->io,
                            {.listen = other_address,
                             .limits = {.header_bytes = 500, .body_bytes = 100},
                             .has_configured_limits = false},
                            this->call_ids,
                            this->sink};
  BOOST_TEST_REQUIRE(unconfigured.Listen().has_value());
  const auto response_to = [&](const std::string& request) {
    RawCaller caller(this->io, other_address);
    caller.Send(request);
    BOOST_TEST(this->Until([&] { return caller.ended; }));
    return caller.received;
  };
  const std::string long_body =
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n";
  const std::string long_head =
      "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(600, 'x') + "\r\n\r\n";
  for (const auto& request : {long_body, long_head}) {
    const auto response = response_to(request);
    BOOST_TEST((response.find(" 503 ") != std::string::npos), response);
    BOOST_TEST((response.find("Retry-After: ") != std::string::npos), response);
  }
  BOOST_TEST(
      (response_to("nonsense\r\n\r\n").find(" 400 ") != std::string::npos));
  unconfigured.SetLimits({.header_bytes = 500, .body_bytes = 100}, 100ms,
                         400ms);
  BOOST_TEST((response_to(long_body).find(" 413 ") != std::string::npos));
  BOOST_TEST(this->sink.requests.empty());
}

BOOST_FIXTURE_TEST_CASE(IncompleteRequestTimesOut, Fixture) {
  RawCaller caller(this->io, this->address);
  caller.Send("GET / HTTP/1.1\r\nHo");
  BOOST_TEST(this->Until([&] { return caller.ended; }));
  BOOST_TEST((caller.received.find(" 408 ") != std::string::npos));
}

BOOST_FIXTURE_TEST_CASE(IdleConnectionIsClosed, Fixture) {
  RawCaller caller(this->io, this->address);
  BOOST_TEST(this->Until([&] { return caller.ended; }));
  BOOST_TEST(caller.received.empty());
}

BOOST_FIXTURE_TEST_CASE(ClosingListenerRespondsAndClosesConnections, Fixture) {
  RawCaller idle(this->io, this->address);
  RawCaller caller(this->io, this->address);
  caller.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  this->listener.StartClosing();
  BOOST_TEST(this->Until([&] { return idle.ended; }));
  this->listener.Respond(1, {.status = 200});
  BOOST_TEST(this->Until([&] { return caller.ended; }));
  BOOST_TEST((caller.received.find("Connection: close") != std::string::npos));
  // A caller that connects during the stop is still served.
  RawCaller late(this->io, this->address);
  late.Send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 2; }));
}

// Failure: a planned stop ended the process while callers were still reading
// responses, or sending their requests.
BOOST_FIXTURE_TEST_CASE(RequestIsUnfinishedUntilItsResponseIsWritten, Fixture) {
  constexpr std::size_t kResponseBytes = 16 * 1024 * 1024;
  RawCaller caller(this->io, this->address);
  BOOST_TEST(
      this->Until([&] { return this->listener.ConnectionCount() == 1; }));
  BOOST_TEST(!this->listener.HasUnfinishedRequests());
  caller.Send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nab");
  BOOST_TEST(
      this->Until([&] { return this->listener.HasUnfinishedRequests(); }));
  BOOST_TEST(this->sink.requests.empty());
  caller.Send("cd");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  this->listener.StartClosing();
  BOOST_TEST(this->listener.HasUnfinishedRequests());
  caller.PauseReading();
  this->listener.Respond(
      1, {.status = 200, .body = std::string(kResponseBytes, 'x')});
  this->Until([&] { return !caller.received.empty(); });
  BOOST_TEST(this->listener.HasUnfinishedRequests());
  caller.ResumeReading();
  BOOST_TEST(
      this->Until([&] { return !this->listener.HasUnfinishedRequests(); }));
  BOOST_TEST(
      this->Until([&] { return caller.received.size() > kResponseBytes; }));
}

// Failure: each connection copied the body of its response twice, so that a
// burst of long responses took three times its memory.
BOOST_FIXTURE_TEST_CASE(BodyIsNotCopiedAndNotHeldAfterItIsWritten, Fixture) {
  const auto answer = std::make_shared<const HttpResponse>(
      HttpResponse{.status = 200, .body = std::string(16 * 1024 * 1024, 'x')});
  RawCaller caller(this->io, this->address);
  caller.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  this->listener.Respond(1, answer);
  BOOST_TEST(answer.use_count() > 1);
  BOOST_TEST(this->Until([&] { return answer.use_count() == 1; }));
  const auto body_bytes = answer->body.size();
  BOOST_TEST(this->Until([&] { return caller.received.size() > body_bytes; }));
  BOOST_TEST((caller.received.substr(caller.received.find("\r\n\r\n") + 4) ==
              answer->body));
}

// A response on its way is given back as soon as its caller has left.
BOOST_FIXTURE_TEST_CASE(BodyIsNotHeldForCallerThatHasLeft, Fixture) {
  const auto answer = std::make_shared<const HttpResponse>(
      HttpResponse{.status = 200, .body = std::string(16 * 1024 * 1024, 'x')});
  RawCaller caller(this->io, this->address);
  caller.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  caller.PauseReading();
  this->listener.Respond(1, answer);
  this->Until([&] { return !caller.received.empty(); });
  BOOST_TEST(answer.use_count() > 1);
  caller.Close();
  BOOST_TEST(this->Until([&] { return answer.use_count() == 1; }));
}

// The opposite: neither an idle connection nor one whose caller has left holds
// the process.
BOOST_FIXTURE_TEST_CASE(IdleAndClosedConnectionsAreNotUnfinished, Fixture) {
  RawCaller idle(this->io, this->address);
  RawCaller leaving(this->io, this->address);
  leaving.Send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  BOOST_TEST(this->Until([&] { return this->sink.requests.size() == 1; }));
  BOOST_TEST(this->listener.HasUnfinishedRequests());
  leaving.Close();
  BOOST_TEST(
      this->Until([&] { return !this->listener.HasUnfinishedRequests(); }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
