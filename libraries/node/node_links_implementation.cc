#include "libraries/node/node_links_implementation.h"

#include <algorithm>
#include <asio/bind_executor.hpp>
#include <asio/post.hpp>
#include <utility>

#include "libraries/base/clock.h"
#include "libraries/node/frame_messages.h"

namespace agaterun::node {

namespace {

using asio::ip::tcp;

// Deadlines are checked this many times per connect timeout.
constexpr int kSweepsPerTimeout = 4;
constexpr Duration kMinSweepInterval = 10ms;
constexpr int kListenBacklog = 1024;

}  // namespace

NodeLinks::Implementation::Implementation(asio::io_context& io,
                                          Options options,
                                          NodeObserver& observer)
    : io(io),
      options(options),
      observer(observer),
      control(asio::make_strand(io)),
      acceptor(this->control),
      sweep_timer(this->control),
      heartbeats(std::make_shared<HeartbeatSocket>(io)) {}

Result<void> NodeLinks::Implementation::Listen() {
  const tcp::endpoint endpoint(asio::ip::address_v4(this->options.self.ip),
                               this->options.self.port);
  std::error_code error;
  this->acceptor.open(tcp::v4(), error);
  if (!error) {
    // A restarted process can bind while connections of the previous process
    // are still in TIME_WAIT.
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    this->acceptor.bind(endpoint, error);
  }
  if (!error) {
    this->acceptor.listen(kListenBacklog, error);
  }
  if (error) {
    return MakeError(ErrorKind::kConnectionFailed,
                     "can't listen on " + this->options.self.ToString() + ": " +
                         error.message() +
                         "; free the port or change the node's address");
  }
  return this->heartbeats->Open(this->options.self);
}

void NodeLinks::Implementation::Start() {
  this->heartbeats->Start(this->weak_from_this());
  asio::post(this->control, [self = this->shared_from_this()] {
    self->Accept();
    self->Sweep();
  });
}

void NodeLinks::Implementation::Accept() {
  const Connection::Strand strand = asio::make_strand(this->io);
  this->acceptor.async_accept(
      strand,
      asio::bind_executor(
          this->control, [self = this->shared_from_this(), strand](
                             const std::error_code& error, tcp::socket socket) {
            if (!self->acceptor.is_open()) {
              return;
            }
            if (error) {
              // Usually out of file descriptors. Sweep() retries later.
              self->is_accept_stalled = true;
              return;
            }
            self->OnAccepted(strand, std::move(socket));
            self->Accept();
          }));
}

void NodeLinks::Implementation::OnAccepted(const Connection::Strand& strand,
                                           tcp::socket socket) {
  // No idle timeout: the opener closes an idle connection, since only it knows
  // which visits are in flight.
  auto connection = std::make_shared<Connection>(
      strand, std::move(socket),
      Connection::Options{.max_frame_bytes = this->options.max_frame_bytes,
                          .max_unsent_bytes = this->options.max_unsent_bytes,
                          .connect_timeout = this->options.connect_timeout},
      this->shared_from_this());
  if (this->Register(connection, true)) {
    connection->StartAccepted();
    return;
  }
  ++this->peers_refused;
  this->log.LogRejected(LogEvent::kPeerRefused, "any",
                        "the limit of connections in the settings is reached; "
                        "raise it or look for a host that opens too many");
}

void NodeLinks::Implementation::Sweep() {
  {
    const std::lock_guard lock(this->mutex);
    if (this->is_closing && this->connections.empty()) {
      return;
    }
  }
  const auto now = MonotonicClock().Now();
  for (const auto& connection : this->SnapshotConnections()) {
    connection->CheckDeadline(now);
  }
  if (std::exchange(this->is_accept_stalled, false)) {
    this->Accept();
  }
  this->sweep_timer.expires_after(std::max(
      kMinSweepInterval, this->options.connect_timeout / kSweepsPerTimeout));
  this->sweep_timer.async_wait(
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error) {
          self->Sweep();
        }
      });
}

bool NodeLinks::Implementation::Register(
    const std::shared_ptr<Connection>& connection,
    bool is_accepted) {
  const std::lock_guard lock(this->mutex);
  if (this->is_closing ||
      (is_accepted && this->accepted_count >= this->options.connections)) {
    return false;
  }
  this->accepted_count += is_accepted ? 1 : 0;
  this->connections.insert(connection);
  return true;
}

std::shared_ptr<Connection> NodeLinks::Implementation::CreateOutgoing(
    NodeAddress to) {
  const Connection::Strand strand = asio::make_strand(this->io);
  auto connection = std::make_shared<Connection>(
      strand, tcp::socket(strand),
      Connection::Options{.max_frame_bytes = this->options.max_frame_bytes,
                          .max_unsent_bytes = this->options.max_unsent_bytes,
                          .connect_timeout = this->options.connect_timeout,
                          .idle_timeout = this->options.idle_timeout},
      this->shared_from_this());
  if (!this->Register(connection, false)) {
    return nullptr;
  }
  connection->Connect(this->options.self.ip, to);
  connection->Send(EncodeGreeting(
      {.from = this->options.self, .incarnation = this->options.incarnation}));
  return connection;
}

std::shared_ptr<Connection> NodeLinks::Implementation::FindOrCreateOutgoing(
    NodeAddress to) {
  return this->outgoing.FindOrCreate(to,
                                     [&] { return this->CreateOutgoing(to); });
}

std::vector<std::shared_ptr<Connection>>
NodeLinks::Implementation::SnapshotConnections() const {
  const std::lock_guard lock(this->mutex);
  return {this->connections.begin(), this->connections.end()};
}

std::size_t NodeLinks::Implementation::ConnectionCount() const {
  const std::lock_guard lock(this->mutex);
  return this->connections.size();
}

std::size_t NodeLinks::Implementation::QueuedBytes() const {
  const std::lock_guard lock(this->mutex);
  std::size_t bytes = 0;
  for (const auto& connection : this->connections) {
    bytes += connection->QueuedBytes();
  }
  return bytes;
}

void NodeLinks::Implementation::SetAllowedPeers(
    std::function<bool(NodeAddress)> allowed) {
  auto shared = std::make_shared<const std::function<bool(NodeAddress)>>(
      std::move(allowed));
  const std::lock_guard lock(this->mutex);
  this->allowed = std::move(shared);
}

bool NodeLinks::Implementation::IsAllowed(NodeAddress peer) const {
  std::shared_ptr<const std::function<bool(NodeAddress)>> predicate;
  {
    const std::lock_guard lock(this->mutex);
    predicate = this->allowed;
  }
  return predicate == nullptr || !*predicate || (*predicate)(peer);
}

void NodeLinks::Implementation::Close() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_closing = true;
  }
  for (const auto& connection : this->SnapshotConnections()) {
    connection->RequestDrain();
  }
  this->heartbeats->RequestClose();
  asio::post(this->control, [self = this->shared_from_this()] {
    std::error_code ignored;
    self->acceptor.close(ignored);
  });
}

void NodeLinks::Implementation::CloseWithoutNotifying() {
  this->observer_guard.CloseAndWait();
  this->Close();
  for (const auto& connection : this->SnapshotConnections()) {
    connection->RequestClose(CloseCause::kStopped, "stopped");
  }
  // The io_context may never run again. From here on, only the pending handlers
  // keep the connections alive, and they are destroyed with the io_context.
  this->outgoing.Clear();
  this->incoming.Clear();
  {
    const std::lock_guard lock(this->mutex);
    this->connections.clear();
    this->allowed = nullptr;
  }
  asio::post(this->control,
             [self = this->shared_from_this()] { self->sweep_timer.cancel(); });
}

void NodeLinks::Implementation::OnConnected(Connection& connection) {
  this->log.LogConnected(connection.Peer(), true);
}

void NodeLinks::Implementation::OnClosed(Connection& connection,
                                         CloseCause cause,
                                         const std::string& reason) {
  // Removes the connection from the tables first: the observer may send the
  // next visit when it is notified of a lost one.
  if (connection.HasPeer()) {
    auto& table = connection.IsOutgoing() ? this->outgoing : this->incoming;
    table.Remove(connection.Peer(), connection);
  }
  {
    const std::lock_guard lock(this->mutex);
    if (this->connections.erase(connection.shared_from_this()) > 0 &&
        !connection.IsOutgoing()) {
      --this->accepted_count;
    }
  }
  switch (cause) {
    case CloseCause::kStopped:
    case CloseCause::kIdle:
      return;
    case CloseCause::kPeerClosed:
    case CloseCause::kLost:
      if (connection.IsOutgoing()) {
        this->log.LogLost(connection.Peer(), reason);
      }
      return;
    case CloseCause::kRejected:
      ++this->frames_rejected;
      this->log.LogRejected(LogEvent::kFrameRejected, connection.RemoteName(),
                            reason);
      return;
    case CloseCause::kRefused:
      ++this->peers_refused;
      this->log.LogRejected(LogEvent::kPeerRefused, connection.RemoteName(),
                            reason);
      return;
  }
}

void NodeLinks::Implementation::OnVisitLost(const decision::AttemptId& attempt,
                                            bool sent) {
  ++this->visits_lost;
  if (const ObserverGuard::Call call(this->observer_guard); call.IsOpen()) {
    this->observer.OnAttemptLost(attempt, sent);
  }
}

NodeLinksCounters NodeLinks::Implementation::Counters() const {
  return {.bytes_sent = this->bytes_sent,
          .bytes_received = this->bytes_received,
          .heartbeats_sent = this->heartbeats_sent,
          .heartbeats_received = this->heartbeats_received,
          .frames_rejected = this->frames_rejected,
          .peers_refused = this->peers_refused,
          .replies_dropped = this->replies_dropped,
          .visits_lost = this->visits_lost};
}

}  // namespace agaterun::node
