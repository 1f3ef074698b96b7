#include "libraries/proxy/endpoint_pool.h"

#include <algorithm>
#include <utility>

#include "libraries/base/clock.h"

namespace agaterun::proxy {

namespace {

using calls::ExchangeResult;
using calls::VisitNumber;

constexpr Duration kSweepInterval = 100ms;

Instant Now() {
  return MonotonicClock().Now();
}

}  // namespace

EndpointPool::EndpointPool(asio::io_context& io,
                           Options options,
                           EndpointObserver& observer)
    : io(io),
      options(std::move(options)),
      observer(observer),
      sweep_timer(io),
      last_activity(Now()) {
  this->Sweep();
}

EndpointPool::~EndpointPool() {
  this->CloseIdle();
  for (const auto& [key, entry] : this->connecting) {
    entry.connection->Close();
  }
  for (const auto& [visit, connection] : this->by_visit) {
    connection->Close();
  }
}

void EndpointPool::Start(Exchange exchange) {
  if (const auto connection = this->AcquireIdle(exchange.idempotent);
      connection) {
    this->SendOn(connection, std::move(exchange));
    return;
  }
  if (auto* probe = this->FindProbe(); probe != nullptr) {
    this->by_visit[exchange.visit] = probe->connection;
    probe->exchange = std::move(exchange);
    return;
  }
  this->Open(std::move(exchange));
}

EndpointPool::Connection EndpointPool::AcquireIdle(bool idempotent) {
  if (this->idle.empty()) {
    return nullptr;
  }
  const auto idle_for = Now() - this->idle.back()->IdleSince();
  const auto usable = this->idle.back()->UsableIdleTime();
  if (idle_for > usable ||
      (!idempotent &&
       idle_for > this->options.max_idle_time_unless_idempotent)) {
    return nullptr;
  }
  auto connection = std::move(this->idle.back());
  this->idle.pop_back();
  return connection;
}

void EndpointPool::Open(Exchange exchange) {
  auto connection = std::make_shared<EndpointConnection>(
      this->io, *this, this->options.request_id_header,
      this->options.response_memory);
  ++this->connections_opened;
  if (exchange.visit != 0) {
    this->by_visit[exchange.visit] = connection;
  }
  this->connecting.emplace(connection.get(),
                           Connecting{.connection = connection,
                                      .exchange = std::move(exchange),
                                      .started_at = Now()});
  connection->Connect(this->options.backend_server);
}

void EndpointPool::SendOn(const Connection& connection, Exchange exchange) {
  if (this->busy.empty()) {
    this->last_activity = Now();
  }
  this->busy[connection.get()] = exchange.visit;
  this->by_visit[exchange.visit] = connection;
  connection->Send(std::move(exchange.bytes), std::move(exchange.request_id),
                   exchange.is_head);
}

void EndpointPool::OnConnectEnded(const Connection& connection,
                                  bool connected) {
  auto node = this->connecting.extract(connection.get());
  auto& exchange = node.mapped().exchange;
  if (connected) {
    this->last_activity = Now();
    this->SetReachable(true);
    if (exchange.visit == 0) {
      this->idle.push_back(connection);
    } else {
      this->SendOn(connection, std::move(exchange));
    }
    return;
  }
  connection->Close();
  const auto visit = exchange.visit;
  this->by_visit.erase(visit);
  this->SetReachable(false);
  if (visit != 0) {
    this->observer.OnExchangeEnded(visit, ExchangeResult::kNotSent, nullptr);
  }
}

void EndpointPool::OnResponse(const Connection& connection,
                              decision::Answer response,
                              bool reusable) {
  this->last_activity = Now();
  this->last_break.reset();
  const auto visit = this->RemoveBusy(connection);
  if (reusable) {
    this->idle.push_back(connection);
  }
  this->observer.OnExchangeEnded(visit, ExchangeResult::kResponded,
                                 std::move(response));
}

calls::VisitNumber EndpointPool::RemoveBusy(const Connection& connection) {
  const auto visit = this->busy.extract(connection.get()).mapped();
  this->by_visit.erase(visit);
  return visit;
}

void EndpointPool::OnGivenUp(const Connection& connection) {
  this->last_activity = Now();
  this->observer.OnExchangeEnded(this->RemoveBusy(connection),
                                 ExchangeResult::kGivenUp, nullptr);
}

void EndpointPool::OnBroken(const Connection& connection) {
  const auto visit = this->RemoveBusy(connection);
  const auto now = Now();
  this->last_break = now;
  this->observer.OnExchangeEnded(visit, ExchangeResult::kBroken, nullptr);
  // Whether the backend server has crashed must not depend on when the next
  // request comes. The connection replaces the one that was lost.
  if (this->reachable && this->connecting.empty()) {
    this->SendProbe(now);
  }
}

void EndpointPool::OnIdleEnded(const Connection& connection) {
  std::erase(this->idle, connection);
}

void EndpointPool::Abort(VisitNumber visit) {
  const auto found = this->by_visit.find(visit);
  if (found == this->by_visit.end()) {
    return;
  }
  const auto connection = found->second;
  this->by_visit.erase(found);
  this->connecting.erase(connection.get());
  this->busy.erase(connection.get());
  connection->Close();
}

void EndpointPool::CloseIdle() {
  for (const auto& connection : std::exchange(this->idle, {})) {
    connection->Close();
  }
}

void EndpointPool::SetReachable(bool is_reachable) {
  if (this->reachable == is_reachable) {
    return;
  }
  this->reachable = is_reachable;
  if (!is_reachable) {
    this->CloseIdle();
  }
  this->observer.OnBackendReachable(is_reachable);
}

bool EndpointPool::MayHaveCrashed(Instant now) const {
  return this->last_break &&
         now - *this->last_break < this->options.crash_probing_time;
}

EndpointPool::Connecting* EndpointPool::FindProbe() {
  const auto found = std::find_if(
      this->connecting.begin(), this->connecting.end(),
      [](const auto& item) { return item.second.exchange.visit == 0; });
  return found == this->connecting.end() ? nullptr : &found->second;
}

void EndpointPool::SendProbe(Instant now) {
  this->last_probe = now;
  this->Open({});
}

void EndpointPool::ProbeIfNeeded(Instant now) {
  const bool is_unresponsive =
      !this->busy.empty() &&
      now - this->last_activity > this->options.unresponsive_timeout;
  const bool is_needed =
      !this->reachable || is_unresponsive || this->MayHaveCrashed(now);
  if (is_needed && this->FindProbe() == nullptr &&
      now - this->last_probe > this->options.probe_interval) {
    this->SendProbe(now);
  }
}

void EndpointPool::BreakAllExchanges() {
  std::vector<VisitNumber> visits;
  for (const auto& [key, visit] : this->busy) {
    visits.push_back(visit);
  }
  for (const auto visit : visits) {
    this->Abort(visit);
    this->observer.OnExchangeEnded(visit, ExchangeResult::kBroken, nullptr);
  }
}

void EndpointPool::Sweep() {
  const auto now = Now();
  while (!this->idle.empty()) {
    const auto& oldest = this->idle.front();
    if (now - oldest->IdleSince() <= oldest->UsableIdleTime()) {
      break;
    }
    oldest->Close();
    this->idle.erase(this->idle.begin());
  }
  std::vector<Connection> timed_out;
  for (const auto& [key, entry] : this->connecting) {
    if (now - entry.started_at > this->options.connect_timeout) {
      timed_out.push_back(entry.connection);
    }
  }
  for (const auto& connection : timed_out) {
    if (!this->connecting.contains(connection.get())) {
      continue;
    }
    const bool was_unresponsive =
        now - this->last_activity > this->options.unresponsive_timeout;
    this->OnConnectEnded(connection, /*connected=*/false);
    if (was_unresponsive) {
      // The backend server responds on neither new nor open connections, so it
      // is treated as down.
      this->BreakAllExchanges();
    }
  }
  this->ProbeIfNeeded(now);
  this->sweep_timer.expires_after(kSweepInterval);
  this->sweep_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->Sweep();
    }
  });
}

}  // namespace agaterun::proxy
