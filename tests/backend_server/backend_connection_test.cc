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
    this->told.emplace_back("connected");
  }
  void OnConnectFailed(std::shared_ptr<BackendConnection>) override {
    this->told.emplace_back("connect failed");
  }
  void OnAnswered(std::shared_ptr<BackendConnection>,
                  HttpResponse response,
                  bool) override {
    this->told.push_back("answered " + response.body);
  }
  void OnBroken(std::shared_ptr<BackendConnection>,
                BackendBreak reason) override {
    this->told.emplace_back(reason.any_sent ? "broken" : "not sent");
  }
  void OnIdleClosed(std::shared_ptr<BackendConnection>) override {
    this->told.emplace_back("idle closed");
  }

  std::vector<std::string> told;
};

// A connection whose events are handled only while the test runs the
// io_context.
class ConnectionFixture {
 public:
  ConnectionFixture() {
    const NodeAddress address = this->server.Address();
    this->connection->Connect({asio::ip::address_v4(address.ip), address.port},
                              10s);
    this->RunUntilTold(1);
  }

  void RunUntilTold(std::size_t count) {
    while (this->owner->told.size() < count && this->io.run_one_for(10s) > 0) {
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

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";

}  // namespace

BOOST_AUTO_TEST_SUITE(BackendConnectionTest)

BOOST_AUTO_TEST_CASE(SeesACloseBeforeItsEventIsHandled) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptAny();
  BOOST_TEST(fixture.connection->IsUsable());
  peer.Close();
  BOOST_TEST(!fixture.connection->IsUsable());
  fixture.RunUntilTold(2);
  BOOST_TEST(fixture.owner->told.back() == "idle closed");
}

BOOST_AUTO_TEST_CASE(TakesNoAnswerWithoutARequest) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptAny();
  peer.Send(kAnswer);
  BOOST_TEST(!fixture.connection->IsUsable());
  fixture.RunUntilTold(2);
  BOOST_TEST(fixture.owner->told.back() == "idle closed");
}

BOOST_AUTO_TEST_CASE(TellsThatNoByteWasSent) {
  ConnectionFixture fixture;
  ScriptedConnection peer = fixture.server.AcceptAny();
  // A reset that has already arrived fails the write before any byte is sent.
  peer.Close(true);
  fixture.connection->Send({.bytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"});
  fixture.RunUntilTold(2);
  BOOST_TEST(fixture.owner->told.back() == "not sent");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::backend_server
