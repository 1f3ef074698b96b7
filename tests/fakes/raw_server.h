#ifndef TESTS_FAKES_RAW_SERVER_H_
#define TESTS_FAKES_RAW_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/node_address.h"

namespace agaterun::fakes {

// A TCP server that responds to each HTTP request with the bytes of a test's
// script, then keeps, closes or resets the connection.
class RawServer {
 public:
  struct ScriptedResponse {
    std::string bytes;
    enum class End { kKeepOpen, kClose, kReset } end = End::kKeepOpen;
  };
  // Called with the head of each request; a body is read and discarded.
  using Script = std::function<ScriptedResponse(const std::string& head)>;

  RawServer(asio::io_context& io, Script script);

  NodeAddress Address() const;
  int Connections() const { return this->connections; }
  const std::vector<std::string>& RequestHeads() const { return this->heads; }

 private:
  struct Session;
  void Accept();
  void Read(const std::shared_ptr<Session>& session);
  bool HandleRequest(const std::shared_ptr<Session>& session);

  asio::ip::tcp::acceptor acceptor;
  Script script;
  int connections = 0;
  std::vector<std::string> heads;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_RAW_SERVER_H_
