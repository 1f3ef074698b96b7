#include "libraries/proxy/account_metrics.h"
#include "libraries/proxy/crash_metrics.h"
#include "libraries/proxy/link_metrics.h"
#include "libraries/proxy/proxy_node.h"
#include "libraries/proxy/response_metrics.h"
#include "libraries/proxy/retry_metrics.h"

// The part of ProxyNode that answers probes and shows metrics and state.
namespace agaterun::proxy {

namespace {

// Client accounts in the state dump and in the metrics.
constexpr std::size_t kShownAccounts = 20;

}  // namespace

std::unique_ptr<ProbeServer> ProxyNode::MakeProbeServer(NodeAddress listen) {
  return std::make_unique<ProbeServer>(
      this->io,
      ProbeServer::Options{.listen = listen,
                           .probe_path = this->dialect.probe_path},
      ProbeServer::Source{.is_ready = [this] { return this->IsReady(); },
                          .metrics = [this] { return this->Metrics(); },
                          .state = [this] { return this->State().ToJson(); }});
}

std::string ProxyNode::Metrics() {
  auto& retries = this->origin.RetryBudget();
  return this->call_log.Metrics() +
         RetryMetrics(retries.Uses(this->Now()), retries.FleetSize()) +
         CrashMetrics(this->crashes.Count(this->Now())) +
         ResponseMetrics(this->response_memory->Count()) +
         AccountMetrics(
             this->origin.Quotas().HighestUse(this->Now(), kShownAccounts)) +
         LinkMetrics(this->links->Sent(
                         [this](auto to) { return this->IsInOwnDomain(to); }),
                     this->links->Sent(
                         [this](auto to) { return !this->IsInOwnDomain(to); }));
}

NodeState ProxyNode::State() {
  auto& retries = this->origin.RetryBudget();
  return {
      .configuration = this->gossip.Version(),
      .endpoint_list = this->directory.Endpoints().CompleteRevision(),
      .reading_mode = this->reading_mode,
      .platform_reached = this->platform_reached.value_or(false),
      .stopping = this->planned_stop.HasStarted(),
      .calls_in_flight = this->origin.CallsInFlight(),
      .service = this->gate.Service(),
      .instance = this->gate.Entry() ? this->gate.Entry()->id : "",
      .load = this->gate.Load(this->Now()),
      .notice = this->gate.Notice(),
      .accounts = this->origin.Quotas().HighestUse(this->Now(), kShownAccounts),
      .retries = retries.Uses(this->Now()),
      .retry_fleet_size = retries.FleetSize(),
      .crashes = this->crashes.Count(this->Now()),
      .connections_opened = this->pool->ConnectionsOpened(),
      .nodes = this->fleet.All()};
}

}  // namespace agaterun::proxy
