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

// A request in the form in which it is sent.
struct BackendRequest {
  decision::VisitId visit;
  std::string bytes;
  bool is_head = false;  // Its answer has no body.
};

// How an exchange on a connection broke off.
struct BackendBreak {
  bool any_sent = true;     // Some byte of the request was written.
  bool answer_cut = false;  // Some byte of the answer had come.
  std::string detail;
};

// Hears what becomes of connections. Called on their strand.
class BackendConnectionOwner {
 public:
  virtual ~BackendConnectionOwner() = default;
  virtual void OnConnected(std::shared_ptr<BackendConnection> connection) = 0;
  virtual void OnConnectFailed(
      std::shared_ptr<BackendConnection> connection) = 0;
  // `reusable` when the connection can take another request.
  virtual void OnAnswered(std::shared_ptr<BackendConnection> connection,
                          HttpResponse response,
                          bool reusable) = 0;
  virtual void OnBroken(std::shared_ptr<BackendConnection> connection,
                        BackendBreak reason) = 0;
  // The backend server closed a connection without a request.
  virtual void OnIdleClosed(std::shared_ptr<BackendConnection> connection) = 0;
};

// One connection to the backend server with at most one request on it. All
// calls are made on the strand.
class BackendConnection
    : public std::enable_shared_from_this<BackendConnection> {
 public:
  using Strand = asio::strand<asio::io_context::executor_type>;
  using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;

  BackendConnection(Strand strand,
                    http::MessageLimits limits,
                    std::weak_ptr<BackendConnectionOwner> owner);

  // Ends in OnConnected or OnConnectFailed, unless Close comes first.
  void Connect(const asio::ip::tcp::endpoint& endpoint, Duration timeout);

  // Sends the request; ends in OnAnswered or OnBroken, unless Close comes
  // first.
  void Send(BackendRequest request);

  // False when the backend server has closed it or sent bytes that nothing
  // asked for.
  bool IsUsable();

  // Closes without a call to the owner.
  void Close();

  // The request that is to be sent or was sent.
  BackendRequest& Request() { return this->request; }

  // True once a request was answered on it.
  bool WasUsed() const { return this->used; }

 private:
  enum class Phase { kConnecting, kIdle, kBusy, kClosed };

  void OnConnectEnded(const std::error_code& error);
  void WaitForInput();
  void OnReadable();
  void OnBytes(std::string_view bytes);
  void OnAnswerWhole(bool trailing_bytes);
  void OnEnded(const std::string& detail);
  void OnWritten(const std::error_code& error, std::size_t count);
  void Break(BackendBreak reason);

  Socket socket;
  std::weak_ptr<BackendConnectionOwner> owner;
  std::unique_ptr<asio::steady_timer> connect_timer;
  http::ResponseParser parser;
  BackendRequest request;
  Phase phase = Phase::kConnecting;
  bool waiting_for_input = false;
  bool writing = false;
  bool used = false;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_BACKEND_CONNECTION_H_
