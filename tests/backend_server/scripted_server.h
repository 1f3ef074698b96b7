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

// One accepted connection, on which the test acts as the backend server.
class ScriptedConnection {
 public:
  explicit ScriptedConnection(asio::ip::tcp::socket socket);

  // Reads the next request; nullopt if the connection ends first or the request
  // is malformed.
  std::optional<HttpRequest> Read();
  void Send(std::string_view bytes);
  // Closes the connection; `reset` sends RST instead of FIN.
  void Close(bool reset = false);
  // True if the client closes or resets the connection.
  bool IsClosedByClient();
  // True if the client closes the connection without sending anything.
  bool ClosesWithoutRequest();

 private:
  asio::ip::tcp::socket socket;
  http::RequestParser parser;
};

// Listens on a free port and accepts the connections of a client.
class ScriptedServer {
 public:
  struct Accepted {
    ScriptedConnection connection;
    HttpRequest request;
  };

  ScriptedServer();

  NodeAddress Address() const { return this->address; }

  // Accepts the next connection that carries a request. Probes, which send
  // none, are dropped.
  Accepted Accept();

  // Accepts the next connection, even if it is a probe. Throws after 10 s
  // without one.
  ScriptedConnection AcceptConnection();

  // Closes the listener. Connections are refused until Listen is called.
  void StopListening();
  void Listen();

 private:
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor;
  NodeAddress address;
};

}  // namespace agaterun::backend_server

#endif  // TESTS_BACKEND_SERVER_SCRIPTED_SERVER_H_
