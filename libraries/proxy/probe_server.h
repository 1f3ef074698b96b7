#ifndef LIBRARIES_PROXY_PROBE_SERVER_H_
#define LIBRARIES_PROXY_PROBE_SERVER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "libraries/proxy/http_listener.h"

namespace agaterun::proxy {

// Serves the health probe of this process, and its metrics and state for
// operators, by HTTP GET.
class ProbeServer : private RequestSink {
 public:
  struct Options {
    NodeAddress listen;
    std::string probe_path;  // Responds with 200 if ready, else with 503.
  };

  // Content of the responses; called for each request.
  struct Source {
    std::function<bool()> is_ready;
    std::function<std::string()> metrics;  // In Prometheus text format.
    std::function<std::string()> state;    // As indented JSON.
  };

  ProbeServer(asio::io_context& io, Options options, Source source);

  // Fails with ErrorKind::kInputOutput.
  Result<void> Listen() { return this->listener.Listen(); }

 private:
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 NodeAddress caller) override;
  void OnCallerDisconnected(decision::CallId call) override;
  HttpResponse Respond(const HttpRequest& request) const;

  Options options;
  Source source;
  decision::CallId call_ids = 1;
  HttpListener listener;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_PROBE_SERVER_H_
