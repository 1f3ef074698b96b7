#include "libraries/proxy/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/proxy/http_connection.h"

namespace agaterun::proxy {

namespace {

using asio::ip::tcp;

constexpr Duration kSweepInterval = 250ms;
constexpr int kBacklog = 1024;

}  // namespace

HttpListener::HttpListener(asio::io_context& io,
                           Options options,
                           decision::CallId& call_ids,
                           RequestSink& sink)
    : options(options),
      call_ids(call_ids),
      sink(sink),
      acceptor(io),
      sweep_timer(io) {}

HttpListener::~HttpListener() {
  for (const auto& connection : std::exchange(this->connections, {})) {
    connection->Detach();
  }
}

Result<void> HttpListener::Listen() {
  const tcp::endpoint address(asio::ip::address_v4(this->options.listen.ip),
                              this->options.listen.port);
  std::error_code error;
  this->acceptor.open(tcp::v4(), error);
  if (!error) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(address, error);
  }
  if (!error) {
    this->acceptor.listen(kBacklog, error);
  }
  if (error) {
    return MakeError(ErrorKind::kInputOutput,
                     "can't listen on " + this->options.listen.ToString() +
                         " (" + error.message() +
                         "); free the address or change the settings");
  }
  this->Accept();
  this->Sweep();
  return {};
}

void HttpListener::SetLimits(http::MessageLimits limits,
                             Duration header_timeout,
                             Duration idle_timeout) {
  this->options.limits = limits;
  this->options.has_configured_limits = true;
  this->options.header_timeout = header_timeout;
  this->options.idle_timeout = idle_timeout;
}

void HttpListener::Accept() {
  this->acceptor.async_accept([this](const std::error_code& error,
                                     tcp::socket socket) {
    if (error == asio::error::operation_aborted) {
      return;
    }
    if (!error && (this->connections.size() < this->options.max_connections ||
                   this->CloseOneIdle())) {
      const auto connection =
          std::make_shared<HttpConnection>(*this, std::move(socket));
      this->connections.insert(connection);
      connection->Start();
    }
    this->Accept();
  });
}

bool HttpListener::CloseOneIdle() {
  std::shared_ptr<HttpConnection> oldest;
  for (const auto& connection : this->connections) {
    if (connection->IsIdle() &&
        (!oldest || connection->Deadline() < oldest->Deadline())) {
      oldest = connection;
    }
  }
  if (!oldest) {
    return false;
  }
  oldest->CloseWhenIdle();
  return true;
}

void HttpListener::Sweep() {
  this->sweep_timer.expires_after(kSweepInterval);
  this->sweep_timer.async_wait([this](const std::error_code& error) {
    if (error) {
      return;
    }
    const auto now = MonotonicClock().Now();
    const std::vector<std::shared_ptr<HttpConnection>> all(
        this->connections.begin(), this->connections.end());
    for (const auto& connection : all) {
      connection->CheckDeadline(now);
    }
    this->Sweep();
  });
}

void HttpListener::StartCall(const std::shared_ptr<HttpConnection>& connection,
                             HttpRequest request,
                             NodeAddress caller) {
  const auto call = this->call_ids++;
  this->calls.emplace(call, connection);
  connection->AssignCall(call);
  this->sink.OnRequest(call, std::move(request), caller);
}

void HttpListener::Respond(decision::CallId call, HttpResponse response) {
  this->Respond(call,
                std::make_shared<const HttpResponse>(std::move(response)));
}

void HttpListener::Respond(decision::CallId call, decision::Answer response) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;
  }
  const auto connection = found->second.lock();
  this->calls.erase(found);
  if (connection) {
    connection->Respond(call, std::move(response));
  }
}

void HttpListener::ReportDisconnect(decision::CallId call) {
  if (this->calls.erase(call) > 0) {
    this->sink.OnCallerDisconnected(call);
  }
}

void HttpListener::RemoveConnection(
    const std::shared_ptr<HttpConnection>& connection) {
  this->connections.erase(connection);
}

void HttpListener::StartClosing() {
  this->closing = true;
  const std::vector<std::shared_ptr<HttpConnection>> all(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : all) {
    connection->CloseWhenIdle();
  }
}

bool HttpListener::HasUnfinishedRequests() const {
  return std::any_of(
      this->connections.begin(), this->connections.end(),
      [](const auto& connection) { return !connection->IsIdle(); });
}

void HttpListener::StopAccepting() {
  std::error_code ignored;
  this->acceptor.close(ignored);
}

}  // namespace agaterun::proxy
