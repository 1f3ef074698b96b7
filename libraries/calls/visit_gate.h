#ifndef LIBRARIES_CALLS_VISIT_GATE_H_
#define LIBRARIES_CALLS_VISIT_GATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/admission/backend_rate_limit.h"
#include "libraries/admission/slot_queue.h"
#include "libraries/admission/work_times.h"
#include "libraries/base/http_message.h"
#include "libraries/base/log_event.h"
#include "libraries/calls/abandoned_visits.h"
#include "libraries/calls/dialect.h"
#include "libraries/calls/nested_call_parent.h"
#include "libraries/decision/messages.h"
#include "libraries/membership/endpoint_entry.h"
#include "libraries/membership/fleet.h"
#include "libraries/retries/crash_history.h"

namespace agaterun::calls {

using SharedRequest = std::shared_ptr<const HttpRequest>;

// How an exchange with the backend server ended.
enum class ExchangeResult {
  kResponded,
  kNotSent,  // No byte of the request was written.
  kBroken,   // It may have run.
  kGivenUp,  // The memory for responses was short. It has run.
};

// Receives the actions of the gate.
class GateOutput {
 public:
  virtual ~GateOutput() = default;
  // Sends the request to the backend server. Only the instance with the id
  // `instance` may run it, and it has to end within `remaining`.
  virtual void StartExchange(VisitNumber visit,
                             const SharedRequest& request,
                             bool idempotent,
                             const std::string& instance,
                             Duration remaining) = 0;
  // Aborts an exchange. No OnExchangeEnded follows.
  virtual void AbortExchange(VisitNumber visit) = 0;
  virtual void SendReply(NodeAddress to,
                         decision::VisitReply reply,
                         decision::Answer answer) = 0;
  // A backend server with another id than the listed one responded at the
  // address.
  virtual void OnOtherInstance() = 0;
  // The backend server states something else about itself than in its earlier
  // responses.
  virtual void OnBackendNotice(const BackendNotice& notice) = 0;
  virtual void ReportVisit(LogEvent event,
                           const HttpRequest& request,
                           decision::Reason reason,
                           Duration elapsed) = 0;
};

// Guards the backend server on this host. All requests to the backend server
// pass through the gate, which limits those in progress to its slots.
class VisitGate {
 public:
  struct Options {
    std::string service;
  };

  // `dialect`, `crashes`, `fleet` and `output` must outlive the gate.
  VisitGate(Options options,
            const Dialect& dialect,
            retries::CrashHistory& crashes,
            const membership::Fleet& fleet,
            GateOutput& output)
      : options(std::move(options)),
        dialect(dialect),
        crashes(crashes),
        fleet(fleet),
        output(output) {}

  void SetService(std::string service);
  const std::string& Service() const { return this->options.service; }

  // The backend server's entry in the platform's list; nullopt while none is
  // known, or when it has been removed.
  void SetEntry(Instant now, std::optional<membership::EndpointEntry> entry);
  const std::optional<membership::EndpointEntry>& Entry() const {
    return this->entry;
  }

  // Whether the backend server accepts connections.
  void SetReachable(Instant now, bool reachable);

  // This process is shutting down: refuses queued and new visits.
  void StartLeaving(Instant now);

  void OnVisit(Instant now,
               NodeAddress from,
               const decision::VisitRequest& visit,
               SharedRequest request);
  void OnCancelled(Instant now, const decision::AttemptId& attempt);
  // `answer` is set when `end` is kResponded.
  void OnExchangeEnded(Instant now,
                       VisitNumber visit,
                       ExchangeResult end,
                       decision::Answer answer);
  void OnTick(Instant now);
  std::optional<Instant> NextWake(Instant now) const;

  // The request that made the nested call with this request id: one that runs,
  // or one that may still run although its exchange has ended. nullopt when no
  // request known to this process has made the call.
  std::optional<NestedCallParent> FindParent(Instant now,
                                             std::string_view request_id) const;

  // A nested call of a running request has ended and took `costs`.
  void AddCosts(VisitNumber visit,
                const std::vector<decision::ServiceCost>& costs);
  // A running request made a nested call.
  void CountNestedCall() { this->nested_calls += 1; }

  // What the backend server stated about itself last.
  const BackendNotice& Notice() const { return this->notice; }

  decision::LoadReport Load(Instant now) const;
  // Service times of requests here and at other endpoints of the service.
  admission::WorkTimes& Times() { return this->times; }
  std::size_t VisitsInFlight() const { return this->visits.size(); }

 private:
  struct Visit {
    NodeAddress from;
    decision::VisitRequest request;
    SharedRequest http_request;
    Instant arrived{};
    Instant deadline{};
    Instant started{};
    bool is_running = false;
    bool has_replied = false;
    admission::WorkTimes::RouteId route = 0;
    std::string instance;  // Backend server it was sent to.
    std::string request_id;
    std::vector<decision::ServiceCost> costs;  // Of its nested calls.
  };

  // By its entry in the platform's list, or by its own statement.
  bool IsBackendLeaving() const;
  decision::Reason ClosedReason() const;
  // Expected wait of a visit of this priority until it may start.
  Duration ExpectedWait(Instant now, int priority) const;
  // True if the request is refused because it crashes backend servers.
  bool IsRefusedAsQuarantined(Instant now, const Visit& visit) const;
  // Replies to a capacity query whether the gate accepts work. Nothing runs.
  void ReplyToCapacityQuery(Instant now,
                            NodeAddress from,
                            const decision::VisitRequest& request);
  void StartVisit(Instant now, VisitNumber number);
  void StartQueued(Instant now);
  void RefuseQueued(Instant now, decision::Reason reason);
  void SendVisitReply(Instant now,
                      const Visit& visit,
                      decision::Outcome outcome,
                      decision::Reason reason,
                      bool offered,
                      decision::Answer answer,
                      std::vector<decision::ServiceCost> costs = {});
  void RefuseVisit(Instant now, VisitNumber number, decision::Reason reason);
  void HandleResponse(Instant now, VisitNumber number, decision::Answer answer);
  // The request may have run, and nothing of its response is passed on.
  void EndWithoutResponse(Instant now,
                          VisitNumber number,
                          decision::Reason reason);
  static NestedCallParent MakeParent(VisitNumber number, const Visit& visit);
  // The backend server may go on running the request of the visit, which is to
  // end now.
  void RecordAbandoned(Instant now, VisitNumber number, const Visit& visit);
  void EndVisit(VisitNumber number);
  std::vector<decision::ServiceCost> TotalCosts(Instant now,
                                                const Visit& visit) const;
  void RecordResult(Instant now, bool failed);
  // Applies what the backend server states about itself in a response.
  void RecordNotice(Instant now, const Visit& visit, BackendNotice new_notice);
  void UpdateRunningTimes(Instant now);

  Options options;
  const Dialect& dialect;
  retries::CrashHistory& crashes;
  const membership::Fleet& fleet;
  GateOutput& output;
  std::optional<membership::EndpointEntry> entry;
  BackendNotice notice;
  // Incarnation of the backend server that `notice` applies to.
  std::string notice_instance;
  std::uint64_t notice_started_at = 0;
  bool reachable = true;
  bool stopping = false;
  admission::SlotQueue queue;
  admission::BackendRateLimit rate_limit;
  admission::WorkTimes times;
  VisitNumber next_number = 1;
  std::unordered_map<VisitNumber, Visit> visits;
  std::unordered_map<decision::AttemptId, VisitNumber> visits_by_attempt;
  std::unordered_map<std::string, VisitNumber>
      running_by_request_id;  // Of running visits.
  AbandonedVisits abandoned;
  double failure_share = 0;
  Instant last_result{};      // When an exchange last ended or was aborted.
  double started_visits = 0;  // Decays together with `nested_calls`.
  double nested_calls = 0;
};

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_VISIT_GATE_H_
