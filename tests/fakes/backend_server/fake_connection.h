#ifndef TESTS_FAKES_BACKEND_SERVER_FAKE_CONNECTION_H_
#define TESTS_FAKES_BACKEND_SERVER_FAKE_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/http/request_parser.h"

namespace agaterun::fakes {

class FakeConnection;

// Takes what comes in on connections.
class FakeConnectionOwner {
 public:
  virtual ~FakeConnectionOwner() = default;
  virtual void OnRequest(std::shared_ptr<FakeConnection> connection,
                         HttpRequest request) = 0;
  // The connection ended, maybe with a request that has no answer yet.
  virtual void OnEnded(std::shared_ptr<FakeConnection> connection) = 0;
};

// How an answer leaves.
enum class Delivery { kWhole, kWholeThenClose, kResetMidBody };

// A connection to the fake backend server, with one request at a time. Runs on
// one thread.
class FakeConnection : public std::enable_shared_from_this<FakeConnection> {
 public:
  FakeConnection(asio::ip::tcp::socket socket, FakeConnectionOwner& owner);

  void Start();
  void Answer(const HttpResponse& response, Delivery delivery);
  // Ends it without a word to the owner.
  void Close(bool reset = false);

 private:
  void WaitForInput();
  void OnReadable();
  void Parse(std::string_view bytes);
  void OnWritten(Delivery delivery);
  void End();

  asio::ip::tcp::socket socket;
  FakeConnectionOwner& owner;
  http::RequestParser parser;
  std::string read_ahead;
  std::string output;
  bool busy = false;
  bool keep_alive = false;
  bool head_method = false;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_FAKE_CONNECTION_H_
