#ifndef LIBRARIES_DECISION_MESSAGES_H_
#define LIBRARIES_DECISION_MESSAGES_H_

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

// Messages between nodes. The node library frames these with cereal.
namespace agaterun::decision {

// Which requests of one service are admitted: all requests of a class more
// important than `cutoff`, and those of the class `cutoff` whose admission key
// is less than `keys` (of kAdmissionKeys). The default admits everything.
struct AdmissionThreshold {
  Importance cutoff = Importance::kBackground;
  std::uint16_t keys = 256;

  // clang-tidy 14 mistakes the compiler-generated comparison for a literal 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AdmissionThreshold&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->cutoff, this->keys);
  }
};

inline constexpr std::uint16_t kAdmissionKeys = 256;

// True when `threshold` admits a request of this importance and admission key.
constexpr bool Admits(AdmissionThreshold threshold,
                      Importance importance,
                      std::uint16_t admission_key) {
  if (importance != threshold.cutoff) {
    return importance < threshold.cutoff;
  }
  return admission_key < threshold.keys;
}

// The stricter of two thresholds.
constexpr AdmissionThreshold StricterThreshold(AdmissionThreshold left,
                                               AdmissionThreshold right) {
  if (left.cutoff != right.cutoff) {
    return left.cutoff < right.cutoff ? left : right;
  }
  return left.keys <= right.keys ? left : right;
}

// Load of one gate, which it reports with its replies and heartbeats.
struct LoadReport {
  std::uint32_t running = 0;  // Requests at the backend server.
  std::uint32_t queued = 0;   // Requests that wait for a slot.
  std::uint32_t limit = 0;    // Concurrency limit in force.
  bool leaving = false;       // The gate accepts no new work.
  bool backend_up = true;
  // Mean time of a request at the backend server; zero while unknown.
  Duration service_time{};
  // Ratio of the backend server's service time to the mean service time of all
  // endpoints of its service for the same work; zero while unknown.
  double slowness = 0;
  // Recent fraction of responses that report a failure of the backend server
  // itself.
  double failure_share = 0;
  // Mean number of calls that the backend server sends while it runs one
  // request.
  double calls_per_request = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    // Fractions are sent in parts per million, because the archive supports
    // only integers.
    constexpr double kPartsPerMillion = 1e6;
    // Rounds to the nearest integer, so that a value that was read is written
    // again unchanged.
    constexpr double kRoundingOffset = 0.5;
    const auto to_ppm = [](double value) {
      return static_cast<std::uint32_t>(value * kPartsPerMillion +
                                        kRoundingOffset);
    };
    auto slowness_ppm = to_ppm(this->slowness);
    auto failure_ppm = to_ppm(this->failure_share);
    auto calls_ppm = to_ppm(this->calls_per_request);
    archive(this->running, this->queued, this->limit, this->leaving,
            this->backend_up, this->service_time, slowness_ppm, failure_ppm,
            calls_ppm);
    this->slowness = slowness_ppm / kPartsPerMillion;
    this->failure_share = failure_ppm / kPartsPerMillion;
    this->calls_per_request = calls_ppm / kPartsPerMillion;
  }
};

// Mean service time of an endpoint for the requests of one route.
struct RouteTime {
  std::uint32_t route = 0;  // Hash of the route's name.
  std::uint32_t microseconds = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->route, this->microseconds);
  }
};

// Time for which a request occupied slots of one service, including all nested
// calls below it.
struct ServiceCost {
  std::string service;
  Duration slot_time{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->slot_time);
  }
};

// Orders requests of the same importance by what their refusal would waste.
enum class DemandKind : std::uint8_t {
  // Was refused before, waited for the advised retry delay, and can still meet
  // its deadline.
  kReturned,
  kNew,
  // Can't meet its deadline any more, or was retried without waiting for the
  // advised delay.
  kLate,
};

inline constexpr int kDemandKindCount = 3;
inline constexpr int kDemandPriorities = kRankCount * kDemandKindCount;

// Position in the order in which requests are admitted. Requests with smaller
// values are admitted first.
constexpr int DemandPriority(int rank, DemandKind demand_kind) {
  return rank * kDemandKindCount + static_cast<int>(demand_kind);
}

// Rates of one route or client account at a node. For a route: requests per
// second of the node's callers, whether they were admitted or not, by demand
// priority. For an account: offered and admitted requests, in thousandths of
// the account's limit.
struct NamedRates {
  std::string name;
  std::array<std::uint32_t, kDemandPriorities> thousandths{};

  // Omits priorities without requests, which are most of them. A bit mask
  // states which ones are present.
  template <class Archive>
  void serialize(Archive& archive) {
    static_assert(kDemandPriorities <= 64);
    std::uint64_t present = 0;
    for (std::size_t priority = 0; priority < this->thousandths.size();
         ++priority) {
      present |= std::uint64_t{this->thousandths[priority] != 0} << priority;
    }
    archive(this->name, present);
    for (std::size_t priority = 0; priority < this->thousandths.size();
         ++priority) {
      if ((present >> priority & 1) != 0) {
        archive(this->thousandths[priority]);
      }
    }
  }
};

// Sum of the rates of several nodes.
struct AggregateDemand {
  // The failure domain of these nodes. Empty for the sum over all failure
  // domains except the sender's.
  std::string failure_domain;
  Duration age{};  // Age of the oldest report in the sum.
  std::uint32_t nodes = 0;
  std::vector<NamedRates> rates;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->failure_domain, this->age, this->nodes, this->rates);
  }
};

enum class VisitKind : std::uint8_t {
  // Runs the request.
  kRun,
  // Requests a new binding; runs nothing.
  kIssueBinding,
  // Queries the state of `binding`, and fences it if nothing has run under it.
  kQueryBinding,
  // Records at the old gate that `binding` moved to `moved_to`, so that a
  // resend under the old binding is redirected there. Refused if a request has
  // run, or may have run, under the old binding.
  kMoveBinding,
};

// An attempt, as the origin sends it to the gate. The HTTP request is sent
// separately.
struct VisitRequest {
  AttemptId attempt;
  VisitKind kind = VisitKind::kRun;
  std::string service;
  std::string route;
  // Time until the deadline, measured when the frame is written.
  Duration remaining{};
  Importance importance = Importance::kNormal;
  std::uint8_t account_priority = 0;  // In [0, kAccountPriorityCount).
  std::uint16_t admission_key = 0;    // In [0, kAdmissionKeys).
  bool idempotent = false;
  // Retries that the visit may spend or lend to its nested calls.
  int allowance = 0;
  std::uint64_t request_id = 0;   // Id of the original request.
  std::uint64_t fingerprint = 0;  // Hash of method, target and body.
  // Team, caller or client account that the visit is accounted to.
  std::string share;
  std::optional<Binding> binding;
  std::optional<Binding> moved_to;
  // Sent by a backend server while it runs a request.
  bool nested = false;
  // The caller retries a request that was refused before.
  bool returned_after_refusal = false;
  // Maximum wait for a slot.
  Duration max_wait{};
  // Asks whether the gate accepts work; runs nothing.
  bool is_capacity_query = false;

  int Rank() const { return RankOf(this->account_priority, this->importance); }

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->kind, this->service, this->route,
            this->remaining, this->importance, this->account_priority,
            this->admission_key, this->idempotent, this->allowance,
            this->request_id, this->fingerprint, this->share, this->binding,
            this->moved_to, this->nested, this->returned_after_refusal,
            this->max_wait, this->is_capacity_query);
  }
};

// A gate's final reply to an attempt. The HTTP response is sent separately.
struct VisitReply {
  AttemptId attempt;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // Time after which a refused caller should retry; zero gives no advice.
  Duration retry_after{};
  int unspent_allowance = 0;
  LoadReport load;
  // Strictest admission threshold of each service on this route's path,
  // including the gate's own service.
  std::vector<std::pair<std::string, AdmissionThreshold>> thresholds;
  // Binding for the caller's next non-idempotent request to this service, or
  // the new binding that kIssueBinding requested.
  std::optional<Binding> next_binding;
  // The binding that replaced a moved one.
  std::optional<Binding> moved_to;
  // The request reached the backend server, whatever its result there.
  bool offered = false;
  // Slot time that a completed visit used, or that a visit refused for lack of
  // capacity would have used.
  std::vector<ServiceCost> costs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->outcome, this->reason, this->retry_after,
            this->unspent_allowance, this->load, this->thresholds,
            this->next_binding, this->moved_to, this->offered, this->costs);
  }
};

// A complete HTTP response, shared by the table of finished requests and the
// connections that write it.
using Answer = std::shared_ptr<const HttpResponse>;

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_MESSAGES_H_
