#include "libraries/backend_server/reachability_monitor.h"

#include "libraries/base/clock.h"
#include "libraries/base/log.h"

namespace agaterun::backend_server {

ReachabilityMonitor::ReachabilityMonitor(Strand strand,
                                         const BackendClient::Options& options,
                                         BackendObserver& observer)
    : endpoint(asio::ip::address_v4(options.backend_server.ip),
               options.backend_server.port),
      connect_timeout(options.connect_timeout),
      probe_interval(options.probe_interval),
      break_window(options.break_window),
      observer(observer),
      socket(strand),
      timer(strand) {}

void ReachabilityMonitor::Probe() {
  if (this->probing || this->shut_down) {
    return;
  }
  this->probing = true;
  this->timer.expires_after(this->connect_timeout);
  this->timer.async_wait(
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error && self->probing) {
          std::error_code ignored;
          self->socket.close(ignored);  // Cancels the connect.
        }
      });
  this->socket.async_connect(this->endpoint, [self = this->shared_from_this()](
                                                 const std::error_code& error) {
    self->OnProbeCompleted(error);
  });
}

void ReachabilityMonitor::OnProbeCompleted(const std::error_code& error) {
  this->probing = false;
  this->timer.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
  this->SetReachable(!error);
  if (error) {
    this->ScheduleProbe();
  }
}

void ReachabilityMonitor::ScheduleProbe() {
  if (this->probing || this->shut_down) {
    return;
  }
  this->timer.expires_after(this->probe_interval);
  this->timer.async_wait(
      [self = this->shared_from_this()](const std::error_code& error) {
        if (!error) {
          self->Probe();
        }
      });
}

void ReachabilityMonitor::OnConnected() {
  this->SetReachable(true);
}

void ReachabilityMonitor::OnConnectFailed() {
  this->SetReachable(false);
  this->ScheduleProbe();
}

void ReachabilityMonitor::OnBroken(bool in_flight) {
  const Instant now = MonotonicClock().Now();
  if (now - this->last_break_time > this->break_window) {
    this->break_count = 0;
    this->any_break_in_flight = false;
  }
  this->last_break_time = now;
  ++this->break_count;
  this->any_break_in_flight = this->any_break_in_flight || in_flight;
  // Idle connections that close together indicate an idle timeout of the
  // backend server. If a connection with a request in flight breaks among them,
  // the process has died, even if another process accepts connections before
  // the probe arrives.
  if (this->any_break_in_flight && this->break_count > 1) {
    this->SetReachable(false);
  }
  if (in_flight || !this->reachable) {
    this->Probe();
  }
}

void ReachabilityMonitor::Shutdown() {
  this->shut_down = true;
  this->timer.cancel();
  std::error_code ignored;
  this->socket.close(ignored);
}

void ReachabilityMonitor::SetReachable(bool reachable) {
  if (this->reachable == reachable || this->shut_down) {
    return;
  }
  this->reachable = reachable;
  Log(reachable ? LogEvent::kBackendUp : LogEvent::kBackendDown,
      {{"address", this->endpoint.address().to_string() + ":" +
                       std::to_string(this->endpoint.port())}});
  this->observer.OnBackendReachable(reachable);
}

}  // namespace agaterun::backend_server
