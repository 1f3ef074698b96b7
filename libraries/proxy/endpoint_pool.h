#ifndef LIBRARIES_PROXY_ENDPOINT_POOL_H_
#define LIBRARIES_PROXY_ENDPOINT_POOL_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/http_message.h"
#include "libraries/base/node_address.h"
#include "libraries/calls/visit_gate.h"
#include "libraries/proxy/endpoint_connection.h"

namespace agaterun::proxy {

// Receives the results of exchanges with the backend server, and changes of its
// reachability.
class EndpointObserver {
 public:
  virtual ~EndpointObserver() = default;
  virtual void OnExchangeEnded(calls::VisitNumber visit,
                               calls::ExchangeResult end,
                               decision::Answer answer) = 0;
  // Called when the reachability changes.
  virtual void OnBackendReachable(bool reachable) = 0;
};

// Sends requests to the local backend server over a pool of persistent
// connections.
class EndpointPool : public EndpointConnectionOwner {
 public:
  struct Options {
    NodeAddress backend_server;
    std::string request_id_header;
    // Shared by all that holds responses in this process.
    std::shared_ptr<admission::ResponseMemory> response_memory =
        std::make_shared<admission::ResponseMemory>();
    Duration connect_timeout = 300ms;
    // Interval between connection probes while the backend server is
    // unreachable or unresponsive.
    Duration probe_interval = 250ms;
    // A request that isn't idempotent reuses a connection only if it has been
    // idle for at most this long. Otherwise the request gets a new connection.
    Duration max_idle_time_unless_idempotent = 1s;
    // If requests are in flight and no response or connection has completed for
    // longer than this, a connection probe is sent.
    Duration unresponsive_timeout = 500ms;
    // After an exchange broke, probes are sent until a response arrives, for at
    // most this long.
    Duration crash_probing_time = 500ms;
  };

  // `io` and `observer` outlive the pool.
  EndpointPool(asio::io_context& io,
               Options options,
               EndpointObserver& observer);
  ~EndpointPool() override;

  struct Exchange {
    calls::VisitNumber visit = 0;
    std::string bytes;
    std::string request_id;
    bool is_head = false;
    bool idempotent = false;
  };

  // Calls OnExchangeEnded on completion, unless Abort is called first.
  void Start(Exchange exchange);
  void Abort(calls::VisitNumber visit);

  // Closes all idle connections; called when another backend server process
  // has taken over the address.
  void CloseIdle();

  std::uint64_t ConnectionsOpened() const { return this->connections_opened; }

  void OnConnectEnded(const std::shared_ptr<EndpointConnection>& connection,
                      bool connected) override;
  void OnResponse(const std::shared_ptr<EndpointConnection>& connection,
                  decision::Answer response,
                  bool reusable) override;
  void OnGivenUp(
      const std::shared_ptr<EndpointConnection>& connection) override;
  void OnBroken(const std::shared_ptr<EndpointConnection>& connection) override;
  void OnIdleEnded(
      const std::shared_ptr<EndpointConnection>& connection) override;

 private:
  using Connection = std::shared_ptr<EndpointConnection>;

  struct Connecting {
    Connection connection;
    Exchange exchange;  // A probe without a request if its visit is 0.
    Instant started_at{};
  };

  Connection AcquireIdle(bool idempotent);
  void Open(Exchange exchange);
  void SendOn(const Connection& connection, Exchange exchange);
  // Removes the connection and its visit from the exchanges in flight.
  calls::VisitNumber RemoveBusy(const Connection& connection);
  void SetReachable(bool reachable);
  void Sweep();
  // True if an exchange broke and no response has arrived since.
  bool MayHaveCrashed(Instant now) const;
  // The connection that is being opened without a request; nullptr if none is.
  Connecting* FindProbe();
  void SendProbe(Instant now);
  void ProbeIfNeeded(Instant now);
  void BreakAllExchanges();

  asio::io_context& io;
  Options options;
  EndpointObserver& observer;
  asio::steady_timer sweep_timer;
  std::vector<Connection> idle;  // Ordered by last use, most recent last.
  std::unordered_map<EndpointConnection*, Connecting> connecting;
  std::unordered_map<EndpointConnection*, calls::VisitNumber> busy;
  std::unordered_map<calls::VisitNumber, Connection> by_visit;
  bool reachable = true;
  Instant last_probe{};
  Instant last_activity{};
  std::optional<Instant> last_break;  // Unset once a response has arrived.
  std::uint64_t connections_opened = 0;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_ENDPOINT_POOL_H_
