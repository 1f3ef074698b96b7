#ifndef LIBRARIES_CALLS_VISIT_GATE_H_
#define LIBRARIES_CALLS_VISIT_GATE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "libraries/admission/slot_queue.h"
#include "libraries/admission/work_times.h"
#include "libraries/base/http_message.h"
#include "libraries/base/log_event.h"
#include "libraries/calls/dialect.h"
#include "libraries/decision/messages.h"
#include "libraries/membership/endpoint_entry.h"
#include "libraries/retries/crash_history.h"

namespace agaterun::calls {

// A request at the gate, queued or at the backend server.
using VisitNumber = std::uint64_t;

using SharedRequest = std::shared_ptr<const HttpRequest>;

// How an exchange with the backend server ended.
enum class ExchangeEnd {
  kResponded,
  kNotSent,  // No byte of the request was written.
  kBroken,   // It may have run.
};

// What the gate has done.
class GateOutput {
 public:
  virtual ~GateOutput() = default;
  // Sends the request to the backend server, which is to be `instance` and to
  // end within `remaining`.
  virtual void StartExchange(VisitNumber visit,
                             const SharedRequest& request,
                             bool idempotent,
                             const std::string& instance,
                             Duration remaining) = 0;
  // Breaks off an exchange. No OnExchangeEnded follows.
  virtual void AbortExchange(VisitNumber visit) = 0;
  virtual void SendReply(NodeAddress to,
                         decision::VisitReply reply,
                         decision::Answer answer) = 0;
  // Another backend server than the one listed has the address.
  virtual void OnOtherInstance() = 0;
  virtual void ReportVisit(LogEvent event,
                           const HttpRequest& request,
                           decision::Reason reason,
                           Duration elapsed) = 0;
};

// Guards the backend server on this host: everything that reaches it passes
// here, so it never holds more than it can run.
class VisitGate {
 public:
  struct Options {
    std::string service;
  };

  // `dialect`, `crashes` and `output` outlive the gate.
  VisitGate(Options options,
            const Dialect& dialect,
            retries::CrashHistory& crashes,
            GateOutput& output)
      : options(std::move(options)),
        dialect(dialect),
        crashes(crashes),
        output(output) {}

  void SetService(std::string service);
  const std::string& Service() const { return this->options.service; }

  // The backend server's entry in the platform's list; nothing while none is
  // known, or when it has been removed.
  void SetEntry(Instant now, std::optional<membership::EndpointEntry> entry);
  const std::optional<membership::EndpointEntry>& Entry() const {
    return this->entry;
  }

  // The backend server takes connections, or none.
  void SetReachable(Instant now, bool reachable);

  // This process ends: takes no more visits.
  void StartLeaving(Instant now);

  void OnVisit(Instant now,
               NodeAddress from,
               const decision::VisitRequest& visit,
               SharedRequest request);
  void OnCancelled(Instant now, const decision::AttemptId& attempt);
  // `answer` is set when the exchange was answered.
  void OnExchangeEnded(Instant now,
                       VisitNumber visit,
                       ExchangeEnd end,
                       decision::Answer answer);
  void OnTick(Instant now);
  std::optional<Instant> NextWake() const;

  // The running request from which a call of the backend server with this id
  // came out, or nothing when it came from elsewhere. Such an id extends the
  // id of the request that it belongs to.
  struct Parent {
    VisitNumber visit = 0;
    decision::Importance importance = decision::Importance::kNormal;
  };
  std::optional<Parent> FindParent(std::string_view request_id) const;

  // A call of a running request has ended and took this much.
  void AddCosts(VisitNumber visit,
                const std::vector<decision::ServiceCost>& costs);
  // A call of a running request came out.
  void CountNestedCall() { this->nested_calls += 1; }

  decision::LoadReport Load(Instant now) const;
  // How long requests take here and at other endpoints of the service.
  admission::WorkTimes& Times() { return this->times; }
  std::size_t VisitsInFlight() const { return this->visits.size(); }

 private:
  struct Visit {
    NodeAddress from;
    decision::VisitRequest request;
    SharedRequest http;
    Instant arrived{};
    Instant deadline{};
    Instant started{};
    bool running = false;
    bool replied = false;
    admission::WorkTimes::RouteId route = 0;
    std::string instance;  // That it was sent to.
    std::string request_id;
    std::vector<decision::ServiceCost> costs;  // Of its calls.
  };

  decision::Reason Closed() const;
  // Says whether the gate takes work; nothing runs.
  void AnswerOffer(Instant now,
                   NodeAddress from,
                   const decision::VisitRequest& request);
  void Start(Instant now, VisitNumber number);
  void Pump(Instant now);
  void RefuseQueued(Instant now, decision::Reason reason);
  void Reply(Instant now,
             const Visit& visit,
             decision::Outcome outcome,
             decision::Reason reason,
             bool offered,
             decision::Answer answer,
             std::vector<decision::ServiceCost> costs = {});
  void Refuse(Instant now, VisitNumber number, decision::Reason reason);
  void TakeAnswer(Instant now, VisitNumber number, decision::Answer answer);
  void End(VisitNumber number);
  std::vector<decision::ServiceCost> CostsOf(Instant now,
                                             const Visit& visit) const;
  void NoteResult(Instant now, bool failed);
  void NoteRunning(Instant now);

  Options options;
  const Dialect& dialect;
  retries::CrashHistory& crashes;
  GateOutput& output;
  std::optional<membership::EndpointEntry> entry;
  bool reachable = true;
  bool stopping = false;
  admission::SlotQueue queue;
  admission::WorkTimes times;
  VisitNumber next_number = 1;
  std::unordered_map<VisitNumber, Visit> visits;
  std::unordered_map<decision::AttemptId, VisitNumber> by_attempt;
  std::unordered_map<std::string, VisitNumber> by_request_id;  // Running ones.
  double failure_share = 0;
  Instant last_result{};      // When the backend server last did anything.
  double started_visits = 0;  // Fading, like the calls they are held against.
  double nested_calls = 0;
};

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_VISIT_GATE_H_
