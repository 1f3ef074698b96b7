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

// Hears what callers do. Called from the threads of the io_context.
class CallerObserver {
 public:
  virtual ~CallerObserver() = default;

  // A whole request. Exactly one CallerServer::Answer has to follow, unless
  // OnCallerDisconnected comes first. `nested` when it came by the local
  // listener.
  virtual void OnRequest(decision::CallId call,
                         HttpRequest request,
                         bool nested) = 0;

  // The caller closed the connection, or its sending side of it, before its
  // answer. Never after CallerServer::Answer.
  virtual void OnCallerDisconnected(decision::CallId call) = 0;
};

// Takes HTTP/1.1 requests on one listening address and gives their answers in
// order. One per listener: outside callers, and the local backend server.
class CallerServer {
 public:
  struct Options {
    NodeAddress listen;
    bool nested = false;
    std::size_t connections = 1024;  // Further ones get 503 and a close.
    Duration header_timeout = 5s;    // From first byte to whole request.
    Duration idle_timeout = 60s;     // Between requests.
    http::MessageLimits limits;
  };

  // Listens at once. `call_ids` is shared by all servers of a process, and
  // both it and `observer` outlive the threads of `io`. Fails with
  // ErrorKind::kInputOutput.
  static Result<std::unique_ptr<CallerServer>> Create(
      asio::io_context& io,
      Options options,
      std::atomic<decision::CallId>& call_ids,
      CallerObserver& observer);

  // Closes all connections; calls without an answer hear nothing more.
  ~CallerServer();

  // Writes the one answer of a call. Ignored when its caller is gone. Safe
  // from any thread.
  void Answer(decision::CallId call, HttpResponse response);

  // Closes the listener and tells connections to close after their answers.
  void StopAccepting();

  std::size_t ConnectionCount() const;

  // Where it listens; tells the port that was picked for port 0.
  NodeAddress Address() const;

 private:
  explicit CallerServer(std::shared_ptr<CallerListener> listener);
  std::shared_ptr<CallerListener> listener;
};

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_CALLER_SERVER_H_
