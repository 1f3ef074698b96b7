#include "libraries/proxy/probe_server.h"

#include <utility>

#include "libraries/base/http_status.h"

namespace agaterun::proxy {

namespace {

constexpr std::size_t kMaxConnections = 64;

HttpResponse TextResponse(int status, std::string body, const char* type) {
  HttpResponse response{.status = status, .body = std::move(body)};
  response.headers.push_back({"Content-Type", type});
  return response;
}

}  // namespace

ProbeServer::ProbeServer(asio::io_context& io, Options options, Source source)
    : options(std::move(options)),
      source(std::move(source)),
      listener(
          io,
          {.listen = this->options.listen, .max_connections = kMaxConnections},
          this->call_ids,
          *this) {}

HttpResponse ProbeServer::Respond(const HttpRequest& request) const {
  if (request.target == this->options.probe_path) {
    return this->source.is_ready()
               ? TextResponse(http_status::kOk, "ready\n", "text/plain")
               : TextResponse(http_status::kUnavailable, "not ready\n",
                              "text/plain");
  }
  if (request.target == "/metrics") {
    return TextResponse(http_status::kOk, this->source.metrics(),
                        "text/plain; version=0.0.4");
  }
  if (request.target == "/state") {
    return TextResponse(http_status::kOk, this->source.state(),
                        "application/json");
  }
  return TextResponse(http_status::kNotFound, "try /metrics or /state\n",
                      "text/plain");
}

void ProbeServer::OnRequest(decision::CallId call,
                            HttpRequest request,
                            NodeAddress /*caller*/) {
  this->listener.Respond(call, this->Respond(request));
}

void ProbeServer::OnCallerDisconnected(decision::CallId /*call*/) {}

}  // namespace agaterun::proxy
