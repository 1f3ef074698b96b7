#include "libraries/backend_server/backend_connection.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/backend_server/scripted_server.h"

namespace agaterun::backend_server {

namespace {

// Records the events of a connection by name.
class RecordingOwner final : public BackendConnectionOwner {
 public:
  void OnConnected(std::shared_ptr<BackendConnection>) override {
    this->events.emplace_back("connected");
  }
  void OnConnectFailed(std::shared_ptr<BackendConnection>) override {
    this->events.emplace_back("connect failed");
  }
  void OnResponse(std::shared_ptr<BackendConnection>,
                  HttpResponse response,
                  bool) override {
    this->events.push_back("response " + response.body);
  }
  void OnBroken(std::shared_ptr<BackendConnection>,
                ConnectionFailure reason) override {
    this->events.emplace_back(reason.any_byte_written ? "broken" : "not sent");
  }
  void OnIdleClosed(std::shared_ptr<BackendConnection>) override {
    this->events.emplace_back("idle closed");
  }

  std::vector<std::string> events;
};

// A connection whose events are handled only while the test runs the
// io_context.
class ConnectionFixture {
 public:
  ConnectionFixture() {
    const NodeAddress address = this->server.Address();
    this->connection->Connect({asio::ip::address_v4(address.ip), address.port},
                              10s);
    this->RunUntilEventCount(1);
  }

  void RunUntilEventCount(std::size_t count) {
    while (this->owner->events.size() < count &&
           this->io.run_one_for(10s) > 0) {
    }
  }

  ScriptedServer server;
  asio::io_context io;
  std::shared_ptr<RecordingOwner> owner = std::make_shared<RecordingOwner>();
  std::shared_ptr<BackendConnection> connection =
      std::make_shared<BackendConnection>(asio::make_strand(this->io),
                                          http::MessageLimits(),
                                          this->owner);
};

constexpr std::string_view kUnsolicitedResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

}  // namespace

BOOST_AUTO_TEST_SUITE(BackendConnectionTest)

BOOST_AUTO_TEST_CASE(CloseIsDetectedBeforeItsEventIsHandled) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptConnection();
  BOOST_TEST(fixture.connection->IsUsable());
  peer.Close();
  BOOST_TEST(!fixture.connection->IsUsable());
  fixture.RunUntilEventCount(2);
  BOOST_TEST(fixture.owner->events.back() == "idle closed");
}

BOOST_AUTO_TEST_CASE(UnsolicitedResponseMakesConnectionUnusable) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptConnection();
  peer.Send(kUnsolicitedResponse);
  BOOST_TEST(!fixture.connection->IsUsable());
  fixture.RunUntilEventCount(2);
  BOOST_TEST(fixture.owner->events.back() == "idle closed");
}

BOOST_AUTO_TEST_CASE(FailedFirstWriteReportsNotSent) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptConnection();
  // A reset that has already arrived fails the write before any byte is sent.
  peer.Close(true);
  fixture.connection->Send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"});
  fixture.RunUntilEventCount(2);
  BOOST_TEST(fixture.owner->events.back() == "not sent");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::backend_server
