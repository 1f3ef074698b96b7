#ifndef LIBRARIES_DECISION_EVENTS_H_
#define LIBRARIES_DECISION_EVENTS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libraries/base/log_event.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/ticket_state.h"

// Events that a node receives, and the actions it takes in response. Each event
// is passed to Node::Handle together with the current time; each action is
// returned as a value.
namespace agaterun::decision {

// --- Events at the origin: calls from outside callers and from the local
// backend server. ---

// A complete request was received.
struct CallArrived {
  CallId call = 0;
  VisitKind kind = VisitKind::kRun;
  std::string service;
  std::string method;
  std::string path;  // Target after the service name; selects the route.
  std::uint64_t fingerprint = 0;
  std::string share;
  // Visit whose backend server sent this call; empty for outside callers.
  std::optional<VisitId> parent;
  // Timeout that the caller set, if any.
  std::optional<Duration> timeout;
  std::optional<Binding> binding;
  // Idempotency-Key of a nested call; empty if the call has none.
  std::string idempotency_key;
};

// The caller closed its connection or cancelled the call.
struct CallerDisconnected {
  CallId call = 0;
};

// A gate sent its final reply to an attempt.
struct AttemptReplied {
  VisitReply reply;
  Answer answer;  // Set when the outcome is kCompleted.
};

// An attempt ended without a reply from its gate.
struct AttemptLost {
  AttemptId attempt;
  // False if no byte of the attempt left this node, which proves that it was
  // not run.
  bool sent = true;
};

// --- Events at the gate: attempts from origins, and the local backend
// server. ---

struct VisitArrived {
  NodeAddress from;
  VisitRequest request;
};

struct VisitCancelled {
  AttemptId attempt;
};

// The backend server returned a complete response.
struct BackendResponded {
  VisitId visit;
  Answer answer;
};

enum class BackendFailure : std::uint8_t {
  kNotSent,  // Connecting failed; the request was never sent.
  kBroken,   // The connection closed before the response was complete.
  kAborted,  // This node aborted the request (deadline, cancellation).
};

struct BackendFailed {
  VisitId visit;
  BackendFailure failure = BackendFailure::kBroken;
};

// The backend server accepts connections again, or stopped accepting them.
struct BackendReachable {
  bool reachable = true;
};

// --- Events of membership, change tickets and shutdown. ---

// A host that the platform lists as leaving, as observed by a node that reads
// the platform's host list.
struct LeavingHint {
  NodeAddress node;
  Duration listed_for{};  // Since a reader first saw the host as leaving.
  Duration seen_age{};    // Since a reader last saw the host as leaving.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->listed_for, this->seen_age);
  }
};

// Requests that were at a backend server when it crashed.
struct CrashReport {
  std::uint64_t id = 0;  // Identical in all copies that nodes forward.
  std::vector<std::uint64_t> fingerprints;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->fingerprints);
  }
};

// Whether a node reads the platform on behalf of its failure domain.
enum class PlatformReading : std::uint8_t {
  kNone,
  kAttempting,  // Its reads have failed so far.
  kUpToDate,    // It receives every change.
};

struct Heartbeat {
  NodeAddress from;
  std::uint64_t incarnation = 0;
  std::uint64_t state_digest = 0;
  LoadReport load;
  // Quarantined fingerprints, with the time until each quarantine ends. Zero
  // for a request that was completed and is no longer suspected.
  std::vector<std::pair<std::uint64_t, Duration>> quarantined;
  // Time since a node last confirmed that the platform has nothing newer than
  // this state.
  Duration platform_age = Duration::max();
  std::vector<LeavingHint> leaving_hints;
  // Demand of the sender's callers.
  std::vector<NamedRates> demand;
  std::vector<AggregateDemand> demand_aggregates;
  // The same for client accounts.
  std::vector<NamedRates> account_use;
  std::vector<AggregateDemand> account_aggregates;
  // Service times of the sender's backend server, reported to the other
  // endpoints of its service.
  std::vector<RouteTime> route_times;
  std::vector<CrashReport> crashes;
  // The receiver is to reply with a heartbeat immediately.
  bool wants_reply = false;
  // Digest of the sender's copy of the platform's endpoint directory, equal for
  // equal copies, and the revision up to which the copy is complete.
  // `platform_age` is the age of that copy.
  std::uint64_t directory_digest = 0;
  std::uint64_t directory_revision = 0;
  PlatformReading reading = PlatformReading::kNone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->incarnation, this->state_digest, this->load,
            this->quarantined, this->platform_age, this->leaving_hints,
            this->demand, this->demand_aggregates, this->account_use,
            this->account_aggregates, this->route_times, this->crashes,
            this->wants_reply, this->directory_digest, this->directory_revision,
            this->reading);
  }
};

struct HeartbeatReceived {
  Heartbeat heartbeat;
};

// The sender's state digest, which every frame carries.
struct DigestReceived {
  NodeAddress peer;
  std::uint64_t state_digest = 0;
};

// The text of a change ticket's item, as sent between nodes.
struct TicketItemText {
  std::string name;
  std::uint64_t number = 0;
  std::string text;
  // Hash of the complete ticket that contains the item, and the names of all
  // items of that ticket, so that a receiver can detect which are missing.
  std::uint64_t ticket_hash = 0;
  std::vector<std::string> siblings;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->number, this->text, this->ticket_hash,
            this->siblings);
  }
};

// Name and version of an item, for finding the items that one side lacks.
struct TicketItemVersion {
  std::string name;
  std::uint64_t number = 0;
  std::uint64_t ticket_hash = 0;
  std::uint64_t text_hash = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->number, this->ticket_hash, this->text_hash);
  }
};

// A peer sent items that this node lacks, either unasked or in reply to a
// request.
struct TicketItemsReceived {
  NodeAddress from;
  std::vector<TicketItemText> items;
};

// A peer reported the item versions that it has, and requests those that are
// newer at this node.
struct TicketItemsRequested {
  NodeAddress from;
  std::vector<TicketItemVersion> have;
};

// A complete change ticket, as published by the platform.
struct TicketPublished {
  std::string text;
};

// A read or watch of the platform ended, successfully or not.
struct PlatformReadEnded {
  bool reached = false;
  // Highest ticket number that the platform returned; the next watch starts
  // after it.
  std::uint64_t last_number = 0;
};

struct HostListEntry {
  std::string name;
  NodeAddress node;
  bool leaving = false;
};

// The platform's list of hosts, which may be out of date.
struct HostListReceived {
  std::vector<HostListEntry> hosts;
};

// A planned stop was requested.
struct StopRequested {};

// The time requested by WakeAt has come.
struct Tick {};

using Event = std::variant<CallArrived,
                           CallerDisconnected,
                           AttemptReplied,
                           AttemptLost,
                           VisitArrived,
                           VisitCancelled,
                           BackendResponded,
                           BackendFailed,
                           BackendReachable,
                           HeartbeatReceived,
                           DigestReceived,
                           TicketItemsReceived,
                           TicketItemsRequested,
                           TicketPublished,
                           PlatformReadEnded,
                           HostListReceived,
                           StopRequested,
                           Tick>;

// --- Actions. ---

// Send the call's request to a gate.
struct SendAttempt {
  NodeAddress to;
  VisitRequest request;
};

// Notify a gate that the caller no longer waits for this attempt.
struct CancelAttempt {
  NodeAddress to;
  AttemptId attempt;
};

// Send the call's final response. Issued once per call.
struct RespondToCaller {
  CallId call = 0;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  Answer answer;  // Set when the outcome is kCompleted.
  Duration retry_after{};
  std::optional<Binding> next_binding;
};

// Send the visit's request to the backend server.
struct StartBackend {
  VisitId visit;
  AttemptId attempt;
  Duration remaining{};
};

// Close the connection on which the visit runs.
struct AbortBackend {
  VisitId visit;
};

// Send the gate's final reply to the origin. Also frees the HTTP request that
// is stored for the attempt.
struct ReplyToOrigin {
  NodeAddress to;
  VisitReply reply;
  Answer answer;
};

struct SendHeartbeat {
  NodeAddress to;
  Heartbeat heartbeat;
};

struct SendTicketItems {
  NodeAddress to;
  std::vector<TicketItemText> items;
};

struct RequestTicketItems {
  NodeAddress to;
  std::vector<TicketItemVersion> have;
};

// Read the platform now, then watch it from `after_number`; report with
// TicketPublished, HostListReceived and PlatformReadEnded.
struct ReadPlatform {
  std::uint64_t after_number = 0;
  bool watch = false;  // Keep the read open until something newer exists.
};

// Publish a new ticket state to its readers on the request path.
struct PublishState {
  std::shared_ptr<const TicketState> state;
};

// Call Node::Handle with a Tick at this time. Replaces an earlier WakeAt.
struct WakeAt {
  Instant instant{};
};

// Write a numbered log event.
struct Report {
  LogEvent event = LogEvent::kStarted;
  std::string subject;
  std::string detail;
};

// After StopRequested, no request is in flight any more: the process may exit.
struct Drained {};

using Action = std::variant<SendAttempt,
                            CancelAttempt,
                            RespondToCaller,
                            StartBackend,
                            AbortBackend,
                            ReplyToOrigin,
                            SendHeartbeat,
                            SendTicketItems,
                            RequestTicketItems,
                            ReadPlatform,
                            PublishState,
                            WakeAt,
                            Report,
                            Drained>;

using Actions = std::vector<Action>;

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_EVENTS_H_
