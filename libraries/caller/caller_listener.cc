#include "libraries/caller/caller_listener.h"

#include <algorithm>
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "libraries/base/clock.h"
#include "libraries/base/log.h"
#include "libraries/caller/caller_connection.h"
#include "libraries/caller/request_headers.h"

namespace agaterun::caller {

namespace {

constexpr Duration kMaxSweepInterval = 500ms;
constexpr Duration kMinSweepInterval = 5ms;
// Delay after a failed accept, for example when file descriptors run out.
constexpr Duration kAcceptRetryDelay = 50ms;
// Maximum number of connections above the limit that receive a 503 response at
// the same time. Further ones are closed without a response.
constexpr std::size_t kMaxRefusedConnections = 64;
constexpr Duration kRefusalRetryAfter = 1s;

Duration SweepInterval(const CallerServer::Options& options) {
  const Duration shortest =
      std::min(options.header_timeout, options.idle_timeout);
  return std::clamp(shortest / 4, kMinSweepInterval, kMaxSweepInterval);
}

}  // namespace

CallerListener::CallerListener(asio::io_context& io,
                               CallerServer::Options options,
                               std::atomic<decision::CallId>& call_ids,
                               CallerObserver& observer)
    : io(io),
      options(options),
      call_ids(call_ids),
      observer(observer),
      strand(asio::make_strand(io)),
      acceptor(this->strand),
      sweep_timer(this->strand),
      accept_timer(this->strand) {}

Result<void> CallerListener::Listen() {
  const asio::ip::tcp::endpoint endpoint(
      asio::ip::address_v4(this->options.listen.ip), this->options.listen.port);
  std::error_code error;
  this->acceptor.open(endpoint.protocol(), error);
  if (!error) {
    this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(ErrorKind::kInputOutput,
                     "can't listen on " + this->options.listen.ToString() +
                         ": " + error.message() +
                         "; free the address or change it in the settings");
  }
  this->options.listen.port = this->acceptor.local_endpoint().port();
  asio::post(this->strand, [self = this->shared_from_this()] {
    self->Accept();
    self->Sweep();
  });
  return {};
}

void CallerListener::Answer(decision::CallId call, HttpResponse response) {
  if (auto connection = this->calls.Remove(call); connection) {
    connection->Answer(std::move(response));
  }
}

void CallerListener::StopAccepting() {
  if (this->stopping.exchange(true)) {
    return;
  }
  asio::post(this->strand, [self = this->shared_from_this()] {
    std::error_code ignored;
    self->acceptor.close(ignored);
    self->accept_timer.cancel();
  });
  const std::lock_guard lock(this->mutex);
  for (const auto& connection : this->connections) {
    connection->Stop();
  }
}

void CallerListener::Shutdown() {
  this->shut_down = true;
  this->StopAccepting();
  asio::post(this->strand,
             [self = this->shared_from_this()] { self->sweep_timer.cancel(); });
  std::unordered_set<std::shared_ptr<CallerConnection>> open;
  {
    const std::lock_guard lock(this->mutex);
    open.swap(this->connections);
  }
  for (const auto& connection : open) {
    connection->Close();
  }
}

decision::CallId CallerListener::BeginCall(
    std::shared_ptr<CallerConnection> connection,
    HttpRequest request) {
  const decision::CallId call = ++this->call_ids;
  this->calls.Insert(call, std::move(connection));
  if (!this->shut_down) {
    this->observer.OnRequest(call, std::move(request), this->options.nested);
  }
  return call;
}

bool CallerListener::AbandonCall(decision::CallId call) {
  if (!this->calls.Remove(call)) {
    return false;
  }
  if (!this->shut_down) {
    this->observer.OnCallerDisconnected(call);
  }
  return true;
}

void CallerListener::RemoveConnection(
    const std::shared_ptr<CallerConnection>& connection) {
  if (connection->IsCounted()) {
    --this->connection_count;
    this->limit_reached = false;
  } else {
    --this->refused_count;
  }
  const std::lock_guard lock(this->mutex);
  this->connections.erase(connection);
}

void CallerListener::Accept() {
  if (this->stopping) {
    return;
  }
  this->acceptor.async_accept(asio::make_strand(this->io),
                              [self = this->shared_from_this()](
                                  const std::error_code& error, Socket socket) {
                                self->OnAccepted(error, std::move(socket));
                              });
}

void CallerListener::OnAccepted(const std::error_code& error, Socket socket) {
  if (this->stopping || error == asio::error::operation_aborted) {
    return;
  }
  if (error) {
    this->accept_timer.expires_after(kAcceptRetryDelay);
    this->accept_timer.async_wait(
        [self = this->shared_from_this()](const std::error_code&) {
          self->Accept();
        });
    return;
  }
  std::error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  if (this->connection_count >= this->options.connections) {
    this->Refuse(std::move(socket));
  } else {
    ++this->connection_count;
    auto connection = std::make_shared<CallerConnection>(
        this->shared_from_this(), std::move(socket), true);
    const std::lock_guard lock(this->mutex);
    this->connections.insert(connection);
    connection->Start();
  }
  this->Accept();
}

void CallerListener::Refuse(Socket socket) {
  if (!this->limit_reached.exchange(true)) {
    Log(LogEvent::kCallerLimitReached,
        {{"address", this->options.listen.ToString()},
         {"connections", std::to_string(this->options.connections)}});
  }
  if (this->refused_count >= kMaxRefusedConnections) {
    return;
  }
  ++this->refused_count;
  auto connection = std::make_shared<CallerConnection>(
      this->shared_from_this(), std::move(socket), false);
  {
    const std::lock_guard lock(this->mutex);
    this->connections.insert(connection);
  }
  connection->Refuse(
      WriteRejection(503, decision::Reason::kLimitReached,
                     "this node holds all connections that it may; use one "
                     "connection for many requests, or another node",
                     kRefusalRetryAfter));
}

void CallerListener::Sweep() {
  if (this->shut_down) {
    return;
  }
  const Instant now = MonotonicClock().Now();
  {
    const std::lock_guard lock(this->mutex);
    for (const auto& connection : this->connections) {
      connection->CheckDeadline(now);
    }
  }
  this->sweep_timer.expires_after(SweepInterval(this->options));
  this->sweep_timer.async_wait(
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error) {
          self->Sweep();
        }
      });
}

}  // namespace agaterun::caller
