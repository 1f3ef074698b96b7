#include "libraries/backend_server/backend_pool.h"

#include <asio/post.hpp>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/base/verify.h"
#include "libraries/http/message_writer.h"

namespace agaterun::backend_server {

using decision::BackendFailure;
using decision::VisitId;

// All connections share one strand, so that the tables need no locks. A backend
// server executes some hundred requests a second, far below the capacity of one
// thread.
BackendPool::BackendPool(asio::io_context& io,
                         const BackendClient::Options& options,
                         BackendObserver& observer)
    : options(options),
      observer(observer),
      strand(asio::make_strand(io)),
      monitor(std::make_shared<ReachabilityMonitor>(this->strand,
                                                    options,
                                                    observer)) {}

void BackendPool::StartMonitoring() {
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->monitor->Probe(); });
}

void BackendPool::Start(VisitId visit, HttpRequest request) {
  // Serialized on the caller's thread, to keep the work on the strand short.
  BackendRequest prepared = {
      .visit = visit,
      .bytes =
          http::WriteRequest(request, this->options.backend_server.ToString()),
      .is_head = request.method == "HEAD"};
  asio::post(this->strand, [self = this->shared_from_this(),
                            prepared = std::move(prepared)]() mutable {
    self->StartOnStrand(std::move(prepared));
  });
}

void BackendPool::Abort(VisitId visit) {
  asio::post(this->strand, [self = this->shared_from_this(), visit] {
    self->AbortOnStrand(visit);
  });
}

void BackendPool::Shutdown() {
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->shut_down = true;
    self->monitor->Shutdown();
    for (const auto& [visit, connection] : self->visits) {
      connection->Close();
    }
    for (const auto& connection : self->idle) {
      connection->Close();
    }
    self->visits.clear();
    self->idle.clear();
    self->UpdateConnectionCount();
  });
}

void BackendPool::StartOnStrand(BackendRequest request) {
  if (this->shut_down) {
    return;
  }
  VERIFY(!this->visits.contains(request.visit));
  if (auto connection = this->TakeUsableIdleConnection(); connection) {
    this->visits.emplace(request.visit, connection);
    connection->Send(std::move(request));
    return;
  }
  this->StartOnNewConnection(std::move(request));
}

void BackendPool::StartOnNewConnection(BackendRequest request) {
  auto connection = std::make_shared<BackendConnection>(
      this->strand, this->options.limits, this->weak_from_this());
  this->visits.emplace(request.visit, connection);
  connection->Request() = std::move(request);
  this->UpdateConnectionCount();
  connection->Connect(asio::ip::tcp::endpoint(
                          asio::ip::address_v4(this->options.backend_server.ip),
                          this->options.backend_server.port),
                      this->options.connect_timeout);
}

std::shared_ptr<BackendConnection> BackendPool::TakeUsableIdleConnection() {
  // The most recently used connection is the least likely to have been closed
  // by the backend server in the meantime.
  while (!this->idle.empty()) {
    auto connection = std::move(this->idle.back());
    this->idle.pop_back();
    if (connection->IsUsable()) {
      return connection;
    }
    connection->Close();
    this->UpdateConnectionCount();
    this->monitor->OnBroken(false);
  }
  return nullptr;
}

void BackendPool::AbortOnStrand(VisitId visit) {
  const auto found = this->visits.find(visit);
  if (found == this->visits.end()) {
    return;
  }
  found->second->Close();
  this->Fail(visit, BackendFailure::kAborted);
}

void BackendPool::OnConnected(std::shared_ptr<BackendConnection> connection) {
  this->monitor->OnConnected();
  connection->Send(std::move(connection->Request()));
}

void BackendPool::OnConnectFailed(
    std::shared_ptr<BackendConnection> connection) {
  this->monitor->OnConnectFailed();
  this->Fail(connection->Request().visit, BackendFailure::kNotSent);
}

void BackendPool::OnResponse(std::shared_ptr<BackendConnection> connection,
                             HttpResponse response,
                             bool reusable) {
  const VisitId visit = connection->Request().visit;
  this->visits.erase(visit);
  if (reusable && this->idle.size() < this->options.idle_connections) {
    this->idle.push_back(std::move(connection));
  } else {
    connection->Close();
  }
  this->UpdateConnectionCount();
  if (!this->shut_down) {
    this->observer.OnBackendResponded(visit, std::move(response));
  }
}

void BackendPool::OnBroken(std::shared_ptr<BackendConnection> connection,
                           ConnectionFailure reason) {
  const VisitId visit = connection->Request().visit;
  if (!reason.any_byte_written && connection->HasCarriedResponse()) {
    // A reused connection was closed just before the request was written. No
    // byte was sent, so a new connection does not send the request twice.
    this->visits.erase(visit);
    this->monitor->OnBroken(false);
    this->StartOnNewConnection(std::move(connection->Request()));
    return;
  }
  if (reason.response_truncated) {
    Log(LogEvent::kBackendAnswerCut,
        {{"address", this->options.backend_server.ToString()},
         {"detail", reason.detail}});
  }
  this->monitor->OnBroken(true);
  this->Fail(visit, reason.any_byte_written ? BackendFailure::kBroken
                                            : BackendFailure::kNotSent);
}

void BackendPool::OnIdleClosed(std::shared_ptr<BackendConnection> connection) {
  std::erase(this->idle, connection);
  this->UpdateConnectionCount();
  this->monitor->OnBroken(false);
}

void BackendPool::Fail(VisitId visit, BackendFailure failure) {
  this->visits.erase(visit);
  this->UpdateConnectionCount();
  if (!this->shut_down) {
    this->observer.OnBackendFailed(visit, failure);
  }
}

void BackendPool::UpdateConnectionCount() {
  this->connection_count = this->visits.size() + this->idle.size();
}

}  // namespace agaterun::backend_server
