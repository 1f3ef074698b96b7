#ifndef LIBRARIES_PROXY_HTTP_LISTENER_H_
#define LIBRARIES_PROXY_HTTP_LISTENER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"
#include "libraries/http/message_limits.h"
#include "libraries/proxy/request_sink.h"

namespace agaterun::proxy {

class HttpConnection;

// Accepts HTTP/1.1 connections on one address. Callers may pipeline requests;
// responses are sent in order of the requests. Runs on the single thread of the
// io_context.
class HttpListener {
 public:
  struct Options {
    NodeAddress listen;
    // At this limit, an idle connection is closed for each new one.
    std::size_t max_connections = 3000;
    // Requests in flight on one connection.
    std::size_t max_pipelined = 32;
    http::MessageLimits limits;
    // False until SetLimits sets those of a configuration. What exceeds the
    // limits may be allowed then, so that it is refused as unavailable.
    bool has_configured_limits = true;
    Duration header_timeout = 3s;
    Duration idle_timeout = 15s;
    Duration write_timeout = 10s;  // For a caller that stops reading.
  };

  // `io` and `sink` outlive the listener. `call_ids` holds the next id to
  // assign; listeners that share it assign distinct ids.
  HttpListener(asio::io_context& io,
               Options options,
               decision::CallId& call_ids,
               RequestSink& sink);
  ~HttpListener();

  // Fails with ErrorKind::kInputOutput.
  Result<void> Listen();

  // Sets the limits of requests that start from now on, and the timeouts, also
  // on open connections.
  void SetLimits(http::MessageLimits limits,
                 Duration header_timeout,
                 Duration idle_timeout);

  // Sends the response to a call. Has no effect if the caller has disconnected.
  // The response is kept until it is written.
  void Respond(decision::CallId call, decision::Answer response);
  void Respond(decision::CallId call, HttpResponse response);

  // Closes idle connections, and sends `Connection: close` with the last
  // response on each other one. New connections are still accepted.
  void StartClosing();

  // Closes the listening socket.
  void StopAccepting();

  std::size_t ConnectionCount() const { return this->connections.size(); }

  // True while a request is being received or is in flight, or a response is
  // not written in full.
  bool HasUnfinishedRequests() const;

  // --- Called by HttpConnection. ---

  const Options& GetOptions() const { return this->options; }
  bool IsClosing() const { return this->closing; }
  void StartCall(const std::shared_ptr<HttpConnection>& connection,
                 HttpRequest request,
                 NodeAddress caller);
  // Removes a call that has its response or has lost its connection.
  void Forget(decision::CallId call) { this->calls.erase(call); }
  // Reports that the caller disconnected before the response to this call.
  void ReportDisconnect(decision::CallId call);
  void RemoveConnection(const std::shared_ptr<HttpConnection>& connection);

 private:
  void Accept();
  // Closes the connection that has been idle longest. Returns false if no
  // connection is idle.
  bool CloseOneIdle();
  void Sweep();

  Options options;
  decision::CallId& call_ids;
  RequestSink& sink;
  asio::ip::tcp::acceptor acceptor;
  asio::steady_timer sweep_timer;
  bool closing = false;
  std::unordered_set<std::shared_ptr<HttpConnection>> connections;
  std::unordered_map<decision::CallId, std::weak_ptr<HttpConnection>> calls;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_HTTP_LISTENER_H_
