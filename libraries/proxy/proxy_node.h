#ifndef LIBRARIES_PROXY_PROXY_NODE_H_
#define LIBRARIES_PROXY_PROXY_NODE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/admission/response_memory.h"
#include "libraries/base/clock.h"
#include "libraries/base/random.h"
#include "libraries/base/settings.h"
#include "libraries/calls/call_origin.h"
#include "libraries/calls/dialect.h"
#include "libraries/calls/visit_gate.h"
#include "libraries/membership/directory_keeper.h"
#include "libraries/membership/directory_source.h"
#include "libraries/membership/fleet.h"
#include "libraries/membership/fleet_size.h"
#include "libraries/membership/heartbeat_plan.h"
#include "libraries/membership/local_entry_tracker.h"
#include "libraries/membership/refused_entries.h"
#include "libraries/membership/state_gossip.h"
#include "libraries/node/log_limiter.h"
#include "libraries/node/node_links.h"
#include "libraries/proxy/call_log.h"
#include "libraries/proxy/endpoint_pool.h"
#include "libraries/proxy/http_listener.h"
#include "libraries/proxy/node_state.h"
#include "libraries/proxy/planned_stop.h"
#include "libraries/proxy/probe_server.h"

namespace agaterun::proxy {

// The node of a backend server on a platform with a key-value store. Connects
// callers, other nodes, the backend server and the platform to the decision
// logic. Runs on the single thread of its io_context.
class ProxyNode final : public RequestSink,
                        public node::NodeObserver,
                        public membership::DirectoryObserver,
                        public EndpointObserver,
                        public calls::OriginOutput,
                        public calls::GateOutput {
 public:
  using SourceFactory =
      std::function<std::unique_ptr<membership::DirectorySource>(
          asio::io_context&,
          RandomSource&,
          membership::DirectoryObserver&)>;

  // Opens all listeners and starts reading from the platform. `on_stopped` is
  // called once a planned stop is complete. Fails with
  // ErrorKind::kInputOutput.
  static Result<std::unique_ptr<ProxyNode>> Create(
      asio::io_context& io,
      NodeSettings settings,
      calls::Dialect dialect,
      const SourceFactory& make_source,
      std::function<void()> on_stopped);
  ~ProxyNode() override;

  // Starts a planned stop: requests in flight complete, and new ones are
  // accepted until callers have had time to move to other nodes.
  void Stop();

  // Applies the settings that may change while the process runs; the others are
  // ignored.
  void SetSettings(const NodeSettings& settings);

  // RequestSink.
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 NodeAddress caller) override;
  void OnCallerDisconnected(decision::CallId call) override;

  // NodeObserver.
  void OnVisit(NodeAddress from,
               decision::VisitRequest visit,
               HttpRequest request) override;
  void OnVisitCancelled(decision::AttemptId attempt) override;
  void OnReply(decision::VisitReply reply, decision::Answer answer) override;
  void OnAttemptLost(decision::AttemptId attempt, bool sent) override;
  void OnHeartbeat(decision::Heartbeat heartbeat) override;
  void OnDigestReceived(NodeAddress peer, std::uint64_t digest) override;
  void OnTicketItems(NodeAddress from,
                     std::vector<decision::TicketItemText> items) override;
  void OnTicketItemsRequested(
      NodeAddress from,
      std::vector<decision::TicketItemVersion> have) override;

  // DirectoryObserver.
  void OnConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::string text) override;
  void OnEndpointList(membership::EndpointList list) override;
  void OnEndpointChanges(membership::EndpointChanges changes) override;
  void OnLocalEndpoint(membership::LocalEndpoint endpoint) override;
  void OnMalformedConfiguration(std::string why) override;
  void OnPlatformReachabilityChanged(bool reached, std::string why) override;

  // EndpointObserver.
  void OnExchangeEnded(calls::VisitNumber visit,
                       calls::ExchangeResult end,
                       decision::Answer answer) override;
  void OnBackendReachable(bool reachable) override;

  // OriginOutput.
  void SendVisit(NodeAddress to,
                 const decision::VisitRequest& visit,
                 const calls::SharedRequest& request) override;
  void CancelVisit(NodeAddress to, const decision::AttemptId& attempt) override;
  void NestedCallStarted() override;
  void NestedCallEnded(
      calls::VisitNumber parent,
      const std::vector<decision::ServiceCost>& costs) override;
  void RespondToCaller(decision::CallId call,
                       const decision::Answer& response,
                       const HttpRequest& request,
                       const calls::CallSummary& summary) override;

  // GateOutput.
  void StartExchange(calls::VisitNumber visit,
                     const calls::SharedRequest& request,
                     bool idempotent,
                     const std::string& instance,
                     Duration remaining) override;
  void AbortExchange(calls::VisitNumber visit) override;
  void SendReply(NodeAddress to,
                 decision::VisitReply reply,
                 decision::Answer answer) override;
  void OnOtherInstance() override;
  void OnBackendNotice(const calls::BackendNotice& notice) override;
  void ReportVisit(LogEvent event,
                   const HttpRequest& request,
                   decision::Reason reason,
                   Duration elapsed) override;

 private:
  ProxyNode(asio::io_context& io,
            NodeSettings settings,
            calls::Dialect dialect,
            std::function<void()> on_stopped);
  std::unique_ptr<ProbeServer> MakeProbeServer(NodeAddress listen);
  Result<void> Open(const SourceFactory& make_source);

  Instant Now() const { return this->clock.Now(); }
  bool IsReady() const;
  NodeState State();
  std::string Metrics();
  std::string RequestIdOf(const HttpRequest& request) const;
  // Applies a changed endpoint list to the fleet, the origin and the gate.
  void ApplyEndpoints();
  // Sets the list in the fleet. Doing so again removes unlisted nodes that have
  // become unresponsive.
  void UpdateFleet();
  // Requests state from the sender of the heartbeat if it is in this failure
  // domain and has a later state.
  void RequestNewerState(const decision::Heartbeat& heartbeat);
  void RequestState(NodeAddress peer);
  void UpdateReadingMode();
  void LogRefused(const membership::RefusedEntry& entry);
  // Logs a restore of the platform's service that has become known.
  void LogRestore();
  // With strict keys, requests that need a key are refused while the state of
  // the platform is too old.
  void UpdateKeysConfirmed(Instant now);
  // Updates the local entry from the endpoint list, by the backend server's
  // address and service. `is_authoritative` states that the change comes from
  // the platform or the backend server itself, not from other nodes.
  void UpdateLocalEntry(bool is_authoritative);
  void SetLocalEntry(std::optional<membership::EndpointEntry> entry);
  // Sets the timer to the earliest time at which the origin or the gate must
  // run.
  void ArmWakeTimer();
  void OnTick();
  void Tick();
  void AdvancePlannedStop();
  // Records the load of this node in the fleet, as for other nodes.
  void RecordOwnLoad();
  // Also sends heartbeats with the load immediately.
  void BroadcastOwnLoad();
  void SendHeartbeats();
  void SendHeartbeat(const membership::HeartbeatTarget& target);
  // What aggregators of this failure domain report to its other nodes.
  std::vector<decision::AggregateDemand> AggregatesForOwnDomain(
      Instant now,
      const admission::FleetDemand& peer_demand,
      const admission::Demand& local_demand);
  void RecordDemand(const decision::Heartbeat& heartbeat);
  // The demand of callers and the use of account limits in a heartbeat.
  struct HeartbeatDemand {
    std::vector<decision::NamedRates> demand;
    std::vector<decision::AggregateDemand> demand_aggregates;
    std::vector<decision::NamedRates> account_use;
    std::vector<decision::AggregateDemand> account_aggregates;
  };
  // Computed once for all heartbeats of a round.
  const HeartbeatDemand& HeartbeatDemandFor(Instant now,
                                            membership::HeartbeatKind kind);
  HeartbeatDemand MakeHeartbeatDemand(Instant now,
                                      membership::HeartbeatKind kind);
  void UpdateQuotas(Instant now);
  // Logs the requests that this node has begun to refuse.
  void LogQuarantines();
  // True if the node is in the fleet and in this failure domain.
  bool IsInOwnDomain(NodeAddress node) const;

  asio::io_context& io;
  NodeSettings settings;
  calls::Dialect dialect;
  std::function<void()> on_stopped;
  MonotonicClock clock;
  SystemRandom random;
  std::uint64_t incarnation;
  std::uint64_t key_seed;  // Of the hash table of account keys.
  membership::Fleet fleet;
  membership::FleetSize fleet_size;
  retries::CrashHistory crashes;
  calls::VisitGate gate;
  calls::CallOrigin origin;
  std::shared_ptr<admission::ResponseMemory> response_memory;
  CallLog call_log;
  membership::StateGossip gossip;
  membership::HeartbeatPlan heartbeat_plan;
  membership::DirectoryKeeper directory;
  // Use of the account limits by the callers of other nodes.
  admission::FleetDemand peer_account_use;
  membership::LocalEntryTracker local_entry;
  membership::RefusedEntries refused_entries;
  membership::ReadingMode reading_mode = membership::ReadingMode::kAlone;
  decision::CallId call_ids = 1;
  std::unordered_map<decision::AttemptId, NodeAddress> visit_origins;
  asio::steady_timer wake_timer;
  asio::steady_timer tick_timer;
  Instant wake_time = Instant::max();
  Instant next_heartbeat{};
  Instant next_quota_update{};
  std::map<membership::HeartbeatKind, HeartbeatDemand> heartbeat_demand;
  Instant next_fleet_check{};
  std::optional<bool> platform_reached;  // Result of the last read.
  std::uint64_t platform_era = 0;        // As logged last.
  PlannedStop planned_stop;

  std::unique_ptr<node::NodeLinks> links;
  std::unique_ptr<EndpointPool> pool;
  std::unique_ptr<HttpListener> callers;
  std::unique_ptr<ProbeServer> probe_server;
  std::unique_ptr<ProbeServer> metrics_server;
  std::unique_ptr<membership::DirectorySource> source;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_PROXY_NODE_H_
