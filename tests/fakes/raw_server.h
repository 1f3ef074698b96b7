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

// A server that answers each request with whatever bytes a test wants.
class RawServer {
 public:
  struct Reaction {
    std::string bytes;
    enum class End { kStay, kClose, kReset } end = End::kStay;
  };
  // Gets the head of a request; its body, if any, is read and dropped.
  using Script = std::function<Reaction(const std::string& head)>;

  RawServer(asio::io_context& io, Script script);

  NodeAddress Address() const;
  int Connections() const { return this->connections; }
  const std::vector<std::string>& Heads() const { return this->heads; }

 private:
  struct Session;
  void Accept();
  void Read(const std::shared_ptr<Session>& session);
  bool TakeRequest(const std::shared_ptr<Session>& session);

  asio::ip::tcp::acceptor acceptor;
  Script script;
  int connections = 0;
  std::vector<std::string> heads;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_RAW_SERVER_H_
