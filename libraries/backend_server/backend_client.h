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

// Receives the results of visits and changes in the reachability of the local
// backend server. Called from the threads of the io_context.
class BackendObserver {
 public:
  virtual ~BackendObserver() = default;
  virtual void OnBackendResponded(decision::VisitId visit,
                                  HttpResponse response) = 0;
  virtual void OnBackendFailed(decision::VisitId visit,
                               decision::BackendFailure failure) = 0;
  // Called at each change of reachability. The backend server counts as
  // unreachable after the first connection attempt that fails, and after
  // several connections break together if one of them had a request in flight.
  virtual void OnBackendReachable(bool reachable) = 0;
};

// Sends requests to the local backend server over persistent connections, with
// one request at a time on each.
class BackendClient {
 public:
  struct Options {
    NodeAddress backend_server;
    std::size_t idle_connections = 64;  // Maximum kept open for reuse.
    Duration connect_timeout = 1s;
    Duration probe_interval = 200ms;  // While it is unreachable.
    Duration break_window = 100ms;    // Breaks within it share one cause.
    http::MessageLimits limits;
  };

  // Probes the backend server at once and assumes it reachable until the probe
  // ends. `observer` must outlive the threads of `io`.
  static std::unique_ptr<BackendClient> Create(asio::io_context& io,
                                               Options options,
                                               BackendObserver& observer);

  ~BackendClient();

  // Sends a request. Exactly one OnBackendResponded or OnBackendFailed follows.
  // If a reused connection closes before any byte of the response, the backend
  // server may still have executed the request, so the visit fails with kBroken
  // and the request is not resent.
  void Start(decision::VisitId visit, HttpRequest request);

  // Closes the visit's connection. OnBackendFailed(kAborted) follows, unless
  // the visit has already ended; then only that result is reported.
  void Abort(decision::VisitId visit);

  std::size_t ConnectionCount() const;

 private:
  explicit BackendClient(std::shared_ptr<BackendPool> pool);
  std::shared_ptr<BackendPool> pool;
};

}  // namespace agaterun::backend_server

#endif  // LIBRARIES_BACKEND_SERVER_BACKEND_CLIENT_H_
