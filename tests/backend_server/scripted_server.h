#ifndef TESTS_BACKEND_SERVER_SCRIPTED_SERVER_H_
#define TESTS_BACKEND_SERVER_SCRIPTED_SERVER_H_

#include <optional>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/http/request_parser.h"

namespace agaterun::backend_server {

// One accepted connection, on which the test plays the backend server.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(asio::ip::tcp::socket socket);

  // The next request, or nothing when the connection ends before it.
  std::optional<HttpRequest> Read();
  void Send(std::string_view bytes);
  // Ends the connection; `reset` sends a reset in place of an end.
  void Close(bool reset = false);
  // True when the other side has closed.
  bool ReadsEnd();
  // True when the other side closes without sending anything.
  bool IsProbe();

 private:
  asio::ip::tcp::socket socket;
  http::RequestParser parser;
};

// Listens on a free port and hands out connections that carry a request.
class ScriptedServer {
 public:
  struct Accepted {
    ScriptedConnection connection;
    HttpRequest request;
  };

  ScriptedServer();

  NodeAddress Address() const { return this->address; }

  // The next connection with a request; probes, which send none, are dropped.
  Accepted Accept();

  // The next connection, whether it is a probe or not.
  ScriptedConnection AcceptAny();

  // Closes the listener; connections are refused until Listen.
  void StopListening();
  void Listen();

 private:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  NodeAddress address;
};

}  // namespace agaterun::backend_server

#endif  // TESTS_BACKEND_SERVER_SCRIPTED_SERVER_H_
