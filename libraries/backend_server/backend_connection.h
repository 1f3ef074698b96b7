#ifndef LIBRARIES_BACKEND_SERVER_BACKEND_CONNECTION_H_
#define LIBRARIES_BACKEND_SERVER_BACKEND_CONNECTION_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"
#include "libraries/http/response_parser.h"

namespace agaterun::backend_server {

class BackendConnection;

// A request serialized for sending.
struct BackendRequest {
  decision::VisitId visit;
  std::string bytes;
  bool is_head = false;  // The response to HEAD has no body.
};

// How a connection failed before the exchange completed.
struct ConnectionFailure {
  bool any_byte_written = true;     // At least one request byte was written.
  bool response_truncated = false;  // Started, then incomplete or invalid.
  std::string detail;
};

// Receives the events of connections. Called on their strand.
class BackendConnectionOwner {
 public:
  virtual ~BackendConnectionOwner() = default;
  virtual void OnConnected(std::shared_ptr<BackendConnection> connection) = 0;
  virtual void OnConnectFailed(
      std::shared_ptr<BackendConnection> connection) = 0;
  // `reusable` is true if the connection can carry another request.
  virtual void OnResponse(std::shared_ptr<BackendConnection> connection,
                          HttpResponse response,
                          bool reusable) = 0;
  virtual void OnBroken(std::shared_ptr<BackendConnection> connection,
                        ConnectionFailure reason) = 0;
  // An idle connection was closed, because the backend server closed it or sent
  // bytes without a request in flight.
  virtual void OnIdleClosed(std::shared_ptr<BackendConnection> connection) = 0;
};

// One connection to the backend server with at most one request in flight. All
// calls must be made on the strand.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  BackendConnection(Strand strand,
                    http::MessageLimits limits,
                    std::weak_ptr<BackendConnectionOwner> owner);

  // Calls OnConnected or OnConnectFailed on the owner, unless Close is called
  // first.
  void Connect(const asio::ip::tcp::endpoint& endpoint, Duration timeout);

  // Sends the request. Calls OnResponse or OnBroken on the owner, unless Close
  // is called first.
  void Send(BackendRequest request);

  // False if the connection is not idle, or if the backend server has closed it
  // or sent bytes without a request in flight.
  bool IsUsable();

  // Closes the connection without notifying the owner.
  void Close();

  // The request to send once connected, or the one last sent.
  BackendRequest& Request() { return this->request; }

  // True once a response has arrived on this connection.
  bool HasCarriedResponse() const { return this->has_carried_response; }

 private:
  enum class Phase { kConnecting, kIdle, kBusy, kClosed };

  void OnConnectCompleted(const std::error_code& error);
  void WaitForInput();
  void OnReadable();
  void OnBytes(std::string_view bytes);
  void OnResponseComplete(bool trailing_bytes);
  void OnConnectionEnded(const std::string& detail);
  // Sends the request, as far as possible without waiting.
  void Write();
  void OnWritten(const std::error_code& error, std::size_t count);
  void Break(ConnectionFailure reason);

  Socket socket;
  std::weak_ptr<BackendConnectionOwner> owner;
  std::unique_ptr<asio::steady_timer> connect_timer;
  http::ResponseParser parser;
  BackendRequest request;
  Phase phase = Phase::kConnecting;
  bool waiting_for_input = false;
  bool writing = false;
  bool has_carried_response = false;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_BACKEND_CONNECTION_H_
