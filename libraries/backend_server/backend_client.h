#ifndef LIBRARIES_BACKEND_SERVER_BACKEND_CLIENT_H_
#define LIBRARIES_BACKEND_SERVER_BACKEND_CLIENT_H_

#include <asio/io_context.hpp>
#include <cstddef>
#include <memory>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/http/message_parser.h"

namespace agaterun::backend_server {

class BackendPool;

// Hears what the local backend server does. Called from the threads of the
// io_context.
class BackendObserver {
 public:
  virtual ~BackendObserver() = default;
  virtual void OnBackendResponded(decision::VisitId visit,
                                  HttpResponse response) = 0;
  virtual void OnBackendFailed(decision::VisitId visit,
                               decision::BackendFailure failure) = 0;
  // Told at each change. The first connection that is refused, and every
  // connection that breaks while others break too, say that it went away.
  virtual void OnBackendReachable(bool reachable) = 0;
};

// Sends requests to the local backend server over kept connections, one
// request at a time on each.
class BackendClient {
 public:
  struct Options {
    NodeAddress backend_server;
    std::size_t idle_connections = 64;  // Kept for later requests.
    Duration connect_timeout = 1s;
    Duration probe_interval = 200ms;  // While it takes no connections.
    Duration break_window = 100ms;    // Breaks within it have one cause.
    http::MessageLimits limits;
  };

  // Probes the backend server at once; it counts as reachable until then.
  // `observer` outlives the threads of `io`.
  static std::unique_ptr<BackendClient> Create(asio::io_context& io,
                                               Options options,
                                               BackendObserver& observer);

  ~BackendClient();

  // Sends a request. Exactly one OnBackendResponded or OnBackendFailed follows.
  // A kept connection that turns out closed before any byte of an answer does
  // not prove that the request was not run: kBroken, never a silent resend.
  void Start(decision::VisitId visit, HttpRequest request);

  // Closes the visit's connection; OnBackendFailed(kAborted) follows, or the
  // answer that was already there.
  void Abort(decision::VisitId visit);

  std::size_t ConnectionCount() const;

 private:
  explicit BackendClient(std::shared_ptr<BackendPool> pool);
  std::shared_ptr<BackendPool> pool;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_BACKEND_CLIENT_H_
