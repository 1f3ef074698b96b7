#ifndef LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_
#define LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/http/response_parser.h"

namespace agaterun::proxy {

class EndpointConnection;

// Hears what becomes of a connection to the backend server.
class EndpointConnectionOwner {
 public:
  virtual ~EndpointConnectionOwner() = default;
  virtual void OnConnectEnded(
      const std::shared_ptr<EndpointConnection>& connection,
      bool connected) = 0;
  // `reusable` when the connection can take another request.
  virtual void OnAnswered(const std::shared_ptr<EndpointConnection>& connection,
                          HttpResponse response,
                          bool reusable) = 0;
  // The exchange under way broke off.
  virtual void OnBroken(
      const std::shared_ptr<EndpointConnection>& connection) = 0;
  // It ended, or got bytes that nothing asked for, without an exchange.
  virtual void OnIdleEnded(
      const std::shared_ptr<EndpointConnection>& connection) = 0;
};

// One connection to the local backend server, with one request at a time.
class EndpointConnection
    : public std::enable_shared_from_this<EndpointConnection> {
 public:
  EndpointConnection(asio::io_context& io,
                     EndpointConnectionOwner& owner,
                     std::string request_id_header);

  // Ends in OnConnectEnded, unless Close comes first.
  void Connect(NodeAddress address);

  // Ends in OnAnswered or OnBroken, unless Close comes first. `request_id` is
  // what the answer has to repeat.
  void Send(std::string bytes, std::string request_id, bool is_head);

  // No call to the owner follows.
  void Close();

  // Since when it waits for a request.
  Instant IdleSince() const { return this->idle_since; }
  // Time that it may be idle and still be used.
  Duration UsableIdleTime() const;

 private:
  enum class State { kConnecting, kIdle, kBusy, kClosed };

  void Read();
  void OnReadable(const std::error_code& error);
  void OnBytes(std::string_view bytes);
  void TakeResponse(bool trailing_bytes);
  void OnEnd(bool orderly);
  bool IsOwnAnswer(const HttpResponse& response) const;

  asio::ip::tcp::socket socket;
  EndpointConnectionOwner& owner;
  std::string request_id_header;
  http::ResponseParser parser;
  std::string request;
  std::string request_id;
  State state = State::kConnecting;
  bool reading = false;
  bool writing = false;
  bool saw_foreign_answer = false;
  Instant idle_since{};
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_ENDPOINT_CONNECTION_H_
