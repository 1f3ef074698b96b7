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

// What a node hears, and what it does about it. Every event reaches
// Node::Handle with its instant; every action comes back as a value.
namespace agaterun::decision {

// --- Origin: calls of outside callers and of the local backend server. ---

// A request that came in whole.
struct CallArrived {
  CallId call = 0;
  VisitKind kind = VisitKind::kRun;
  std::string service;
  std::string method;
  std::string path;  // Target after the service name, for the route.
  std::uint64_t fingerprint = 0;
  std::string share;
  // Visit whose backend server sent this call; nothing for outside callers.
  std::optional<VisitId> parent;
  // The caller's own time limit, when it named one.
  std::optional<Duration> timeout;
  std::optional<Binding> binding;
  // Idempotency-Key of a nested call; empty when it had none.
  std::string idempotency_key;
};

// The caller closed its connection or cancelled.
struct CallerDisconnected {
  CallId call = 0;
};

// A gate gave its last word on an attempt.
struct AttemptReplied {
  VisitReply reply;
  Answer answer;  // Set when the outcome is kCompleted.
};

// An attempt ended without a word from its gate.
struct AttemptLost {
  AttemptId attempt;
  // False when no byte of it left this node, which is evidence of not run.
  bool sent = true;
};

// --- Gate: attempts of origins, and the local backend server. ---

struct VisitArrived {
  NodeAddress from;
  VisitRequest request;
};

struct VisitCancelled {
  AttemptId attempt;
};

// The backend server gave a whole response.
struct BackendResponded {
  VisitId visit;
  Answer answer;
};

enum class BackendFailure : std::uint8_t {
  kNotSent,  // No connection could be made; the request was never sent.
  kBroken,   // The connection broke before the whole response was there.
  kAborted,  // This node gave it up (deadline, cancellation).
};

struct BackendFailed {
  VisitId visit;
  BackendFailure failure = BackendFailure::kBroken;
};

// The backend server took a connection again, or stopped taking any.
struct BackendReachable {
  bool reachable = true;
};

// --- Membership, tickets, lifetime. ---

// A host that the platform lists as leaving, as a reader of the list saw it.
struct LeavingHint {
  NodeAddress node;
  Duration listed_for{};  // Since a reader saw the list change.
  Duration seen_age{};    // Since a reader last saw it listed.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->node, this->listed_for, this->seen_age);
  }
};

// Requests that were at a backend server when it crashed.
struct CrashReport {
  std::uint64_t id = 0;  // The same from whomever it is heard.
  std::vector<std::uint64_t> fingerprints;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->id, this->fingerprints);
  }
};

// Whether a node reads the platform for its failure domain.
enum class PlatformReading : std::uint8_t {
  kNone,
  kAttempting,  // Without success.
  kUpToDate,    // It hears of every change.
};

struct Heartbeat {
  NodeAddress from;
  std::uint64_t incarnation = 0;
  std::uint64_t state_digest = 0;
  LoadReport load;
  // Fingerprints convicted lately, with the time until each is forgiven.
  std::vector<std::pair<std::uint64_t, Duration>> quarantined;
  // Time since somebody saw the platform hold nothing newer than this state.
  Duration platform_age = Duration::max();
  std::vector<LeavingHint> leaving_hints;
  // What the callers of the sender ask for.
  std::vector<RouteDemand> demand;
  std::vector<AggregateDemand> demand_aggregates;
  // What the sender's backend server takes, told to others of its service.
  std::vector<RouteTime> route_times;
  std::vector<CrashReport> crashes;
  bool wants_reply = false;  // By a heartbeat, at once.
  // What the sender knows of the platform's endpoints: equal for the same
  // ones, and the revision that it is complete up to. `platform_age` is how old
  // that is.
  std::uint64_t directory_digest = 0;
  std::uint64_t directory_revision = 0;
  PlatformReading reading = PlatformReading::kNone;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->from, this->incarnation, this->state_digest, this->load,
            this->quarantined, this->platform_age, this->leaving_hints,
            this->demand, this->demand_aggregates, this->route_times,
            this->crashes, this->wants_reply, this->directory_digest,
            this->directory_revision, this->reading);
  }
};

struct HeartbeatReceived {
  Heartbeat heartbeat;
};

// The sender's state digest on any frame.
struct DigestReceived {
  NodeAddress peer;
  std::uint64_t state_digest = 0;
};

// The text of a ticket item between nodes.
struct TicketItemText {
  std::string name;
  std::uint64_t number = 0;
  std::string text;
  // Of the whole ticket that the item came with, and the names of all its
  // items, so that a receiver sees which of them it still lacks.
  std::uint64_t ticket_hash = 0;
  std::vector<std::string> siblings;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->name, this->number, this->text, this->ticket_hash,
            this->siblings);
  }
};

// Name and version of an item, to find what one side lacks.
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

// A peer sent items that this node lacks, or answered a request for them.
struct TicketItemsReceived {
  NodeAddress from;
  std::vector<TicketItemText> items;
};

// A peer told which versions it has and wants what is newer here.
struct TicketItemsRequested {
  NodeAddress from;
  std::vector<TicketItemVersion> have;
};

// A whole ticket as the platform published it.
struct TicketPublished {
  std::string text;
};

// The platform answered the read or watch, or did not.
struct PlatformReadEnded {
  bool reached = false;
  // Highest ticket number the platform has shown, to watch from.
  std::uint64_t last_number = 0;
};

struct HostListEntry {
  std::string name;
  NodeAddress node;
  bool leaving = false;
};

// The platform's list of hosts, which lags.
struct HostListReceived {
  std::vector<HostListEntry> hosts;
};

// A planned stop was asked for.
struct StopRequested {};

// The instant that WakeAt asked for has come.
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

// Tell a gate that nobody waits for this attempt any more.
struct CancelAttempt {
  NodeAddress to;
  AttemptId attempt;
};

// The call's final answer, given once.
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

// Give the origin the gate's last word. Also drops the request kept for it.
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
  bool watch = false;  // Hold the read open until something newer is there.
};

// Publish a new state to the readers on the request path.
struct PublishState {
  std::shared_ptr<const TicketState> state;
};

// Call Handle with a Tick at this instant. Replaces an earlier one.
struct WakeAt {
  Instant instant{};
};

// Write a numbered log event.
struct Report {
  LogEvent event = LogEvent::kStarted;
  std::string subject;
  std::string detail;
};

// Nothing is in flight any more after StopRequested: the process may exit.
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
