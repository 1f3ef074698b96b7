#ifndef LIBRARIES_DECISION_REQUEST_TYPES_H_
#define LIBRARIES_DECISION_REQUEST_TYPES_H_

#include <array>
#include <compare>
#include <cstdint>
#include <functional>

#include "libraries/base/enum_names.h"
#include "libraries/base/node_address.h"

namespace agaterun::decision {

// How important a request is. Smaller values are more important; requests of a
// class are shed only after all requests of every less important class.
enum class Importance : std::uint8_t { kCritical, kHigh, kNormal, kBackground };

inline constexpr int kImportanceCount = 4;

inline constexpr std::array kImportanceNames = {
    EnumName<Importance>{Importance::kCritical, "critical"},
    EnumName<Importance>{Importance::kHigh, "high"},
    EnumName<Importance>{Importance::kNormal, "normal"},
    EnumName<Importance>{Importance::kBackground, "background"},
};

// Priorities of client accounts, of which 0 is the most important. Requests
// without an account have priority 0.
inline constexpr int kAccountPriorityCount = 4;

// Position of a request in the order in which requests are shed. The priority
// of its client account precedes the importance of its route. Smaller ranks are
// more important.
constexpr int RankOf(std::uint8_t account_priority, Importance importance) {
  return account_priority * kImportanceCount + static_cast<int>(importance);
}

inline constexpr int kRankCount = kAccountPriorityCount * kImportanceCount;

// Final result of a request.
enum class Outcome : std::uint8_t {
  // A backend server ran it and returned a complete response.
  kCompleted,
  // Proven: no backend server ran it or will run it.
  kNotRun,
  // It may have run.
  kUnknown,
};

inline constexpr std::array kOutcomeNames = {
    EnumName<Outcome>{Outcome::kCompleted, "completed"},
    EnumName<Outcome>{Outcome::kNotRun, "not-run"},
    EnumName<Outcome>{Outcome::kUnknown, "unknown"},
};

// Why a request has no response from a backend server.
enum class Reason : std::uint8_t {
  kNone,
  kOverloaded,        // Refused by admission; Retry-After gives the delay.
  kExhausted,         // The retry allowance or the retry budget is spent.
  kDeadlineExceeded,  // The deadline passed, or can't be met any more.
  kLeaving,           // The endpoint is draining.
  kUnreachable,       // No endpoint of the service can be reached.
  kBackendDown,       // The backend server does not accept connections.
  kBackendFailed,     // It closed the connection after the request was sent.
  kConnectionLost,    // The connection to the gate was lost, or it timed out.
  kNoSuchService,     // No ticket in force defines the service.
  kNoSuchRoute,       // The service has no such route.
  kBindingRequired,   // Non-idempotent, and sent without a binding.
  kBindingLost,       // The incarnation that issued the binding has ended.
  kBindingFenced,     // A query or a refusal fenced the binding.
  kInProgress,        // The queried request is still running.
  kSuspect,           // Another suspect is running; retry later.
  kQuarantined,       // It crashed backend servers twice; refused for a time.
  kCancelled,         // The caller disconnected or the parent visit ended.
  kWaitingForState,   // The node has not received the tickets in force yet.
  kMalformed,         // The request itself is invalid.
  kLimitReached,      // A table or the memory of the node is full.
  kBackendRejected,   // The backend server reported that it did not run it.
  kUnknownKey,        // No client account holds the request's key.
  kQuotaExceeded,     // The client account has reached its quota.
};

inline constexpr std::array kReasonNames = {
    EnumName<Reason>{Reason::kNone, "none"},
    EnumName<Reason>{Reason::kOverloaded, "overloaded"},
    EnumName<Reason>{Reason::kExhausted, "exhausted"},
    EnumName<Reason>{Reason::kDeadlineExceeded, "deadline-exceeded"},
    EnumName<Reason>{Reason::kLeaving, "leaving"},
    EnumName<Reason>{Reason::kUnreachable, "unreachable"},
    EnumName<Reason>{Reason::kBackendDown, "backend-down"},
    EnumName<Reason>{Reason::kBackendFailed, "backend-failed"},
    EnumName<Reason>{Reason::kConnectionLost, "connection-lost"},
    EnumName<Reason>{Reason::kNoSuchService, "no-such-service"},
    EnumName<Reason>{Reason::kNoSuchRoute, "no-such-route"},
    EnumName<Reason>{Reason::kBindingRequired, "binding-required"},
    EnumName<Reason>{Reason::kBindingLost, "binding-lost"},
    EnumName<Reason>{Reason::kBindingFenced, "binding-fenced"},
    EnumName<Reason>{Reason::kInProgress, "in-progress"},
    EnumName<Reason>{Reason::kSuspect, "suspect"},
    EnumName<Reason>{Reason::kQuarantined, "convicted"},
    EnumName<Reason>{Reason::kCancelled, "cancelled"},
    EnumName<Reason>{Reason::kWaitingForState, "waiting-for-state"},
    EnumName<Reason>{Reason::kMalformed, "malformed"},
    EnumName<Reason>{Reason::kLimitReached, "limit-reached"},
    EnumName<Reason>{Reason::kBackendRejected, "backend-rejected"},
    EnumName<Reason>{Reason::kUnknownKey, "unknown-key"},
    EnumName<Reason>{Reason::kQuotaExceeded, "quota-exceeded"},
};

// Identifies a call at its origin node. Never reused within one incarnation.
using CallId = std::uint64_t;

// Identifies one attempt of a call between nodes. `incarnation` distinguishes
// successive processes at the same address.
struct AttemptId {
  NodeAddress origin;
  std::uint64_t incarnation = 0;
  CallId call = 0;
  std::uint32_t number = 0;

  // clang-tidy 14 mistakes the compiler-generated comparison for a literal 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AttemptId&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->origin, this->incarnation, this->call, this->number);
  }
};

// Identifies a request that a gate has started at its backend server. Random,
// so that a nested call can't name a parent that isn't its own.
struct VisitId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  // clang-tidy 14 mistakes the compiler-generated comparison for a literal 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const VisitId&) const = default;
};

// The right to run one non-idempotent request at one gate, at most once.
struct Binding {
  NodeAddress gate;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  // clang-tidy 14 mistakes the compiler-generated comparison for a literal 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Binding&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->gate, this->incarnation, this->sequence);
  }
};

}  // namespace agaterun::decision

template <>
struct std::hash<agaterun::decision::AttemptId> {
  std::size_t operator()(
      const agaterun::decision::AttemptId& id) const noexcept {
    return std::hash<agaterun::NodeAddress>()(id.origin) ^
           (id.call * 0x9e3779b97f4a7c15) ^ (id.incarnation << 1) ^ id.number;
  }
};

template <>
struct std::hash<agaterun::decision::VisitId> {
  std::size_t operator()(const agaterun::decision::VisitId& id) const noexcept {
    return id.high ^ id.low;
  }
};

#endif  // LIBRARIES_DECISION_REQUEST_TYPES_H_
