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
#include "libraries/http/message_limits.h"
#include "libraries/proxy/request_sink.h"

namespace agaterun::proxy {

class HttpConnection;

// Takes HTTP/1.1 connections on one address. A caller may send further
// requests before the first is answered; answers go out in that order. All of
// it runs on the one thread of the io_context.
class HttpListener {
 public:
  struct Options {
    NodeAddress listen;
    std::size_t most_connections = 3000;  // Then idle ones make room.
    std::size_t most_pipelined = 32;      // Requests in flight on one.
    http::MessageLimits limits;
    Duration header_timeout = 3s;
    Duration idle_timeout = 15s;
    Duration write_timeout = 10s;  // For a caller that does not read.
  };

  // `io` and `sink` outlive the listener. `call_ids` gives out ids that are
  // unique among all listeners of a process.
  HttpListener(asio::io_context& io,
               Options options,
               decision::CallId& call_ids,
               RequestSink& sink);
  ~HttpListener();

  // Fails with ErrorKind::kInputOutput.
  Result<void> Listen();

  // What connections accept from now on.
  void SetLimits(http::MessageLimits limits,
                 Duration header_timeout,
                 Duration idle_timeout);

  // Ignored when the caller is gone.
  void Answer(decision::CallId call, const HttpResponse& response);

  // From now on each answer tells the caller to close; idle connections are
  // closed. New connections are still taken.
  void StartClosing();

  // Takes no more connections.
  void StopAccepting();

  std::size_t ConnectionCount() const { return this->connections.size(); }

  // --- For connections. ---

  const Options& GetOptions() const { return this->options; }
  bool IsClosing() const { return this->closing; }
  void Begin(const std::shared_ptr<HttpConnection>& connection,
             HttpRequest request,
             NodeAddress caller);
  // The call's connection is gone or the call is answered.
  void Forget(decision::CallId call) { this->calls.erase(call); }
  void Abandon(decision::CallId call);
  void Remove(const std::shared_ptr<HttpConnection>& connection);

 private:
  void Accept();
  // Closes the connection that has been idle longest. False when none is.
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
