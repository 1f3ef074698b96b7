#ifndef LIBRARIES_CALLER_CALLER_SERVER_H_
#define LIBRARIES_CALLER_CALLER_SERVER_H_

#include <asio/io_context.hpp>
#include <atomic>
#include <cstddef>
#include <memory>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"
#include "libraries/http/message_parser.h"

namespace agaterun::caller {

class CallerListener;

// Receives requests and disconnects of callers. Called on the threads of the
// io_context.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  // A complete request was received. The observer has to call
  // CallerServer::Answer exactly once, unless OnCallerDisconnected is called
  // first. `nested` is true for requests on the local listener.
  virtual void OnRequest(decision::CallId call,
                         HttpRequest request,
                         bool nested) = 0;

  // The caller closed the connection, or its sending side, before the
  // response. Never called after CallerServer::Answer.
  virtual void OnCallerDisconnected(decision::CallId call) = 0;
};

// An HTTP/1.1 server on one listening address. Sends the responses of a
// connection in the order of its requests. There is one server per listener:
// one for outside callers, and one for nested calls of the local backend
// server.
class CallerServer {
 public:
  struct Options {
    NodeAddress listen;
    bool nested = false;
    std::size_t connections = 1024;  // Above it: 503 and close.
    Duration header_timeout = 5s;    // First to last byte of a request.
    Duration idle_timeout = 60s;     // Between requests.
    http::MessageLimits limits;
  };

  // Starts to listen before it returns. `call_ids` is shared by all servers of
  // a process. Both `call_ids` and `observer` must outlive the threads of
  // `io`. Fails with
  // ErrorKind::kInputOutput.
  static Result<std::unique_ptr<CallerServer>> Create(
      asio::io_context& io,
      Options options,
      std::atomic<decision::CallId>& call_ids,
      CallerObserver& observer);

  // Closes all connections. Calls without a response are dropped, and the
  // observer is not notified.
  ~CallerServer();

  // Sends the response of a call. Ignored if the caller has disconnected or the
  // call already has its response. Safe from any thread.
  void Answer(decision::CallId call, HttpResponse response);

  // Closes the listening socket. Each connection closes after its pending
  // response.
  void StopAccepting();

  std::size_t ConnectionCount() const;

  // The listening address. Holds the port that the system assigned if the
  // options had port 0.
  NodeAddress Address() const;

 private:
  explicit CallerServer(std::shared_ptr<CallerListener> listener);
  std::shared_ptr<CallerListener> listener;
};

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_CALLER_SERVER_H_
