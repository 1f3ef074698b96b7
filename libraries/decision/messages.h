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

// What nodes tell each other. The node library frames these with cereal.
namespace agaterun::decision {

// Which requests of one service are admitted: all classes above `cutoff`, and
// of the class `cutoff` the admission keys below `keys` (of kAdmissionKeys).
// The default admits everything.
struct AdmissionThreshold {
  Importance cutoff = Importance::kBackground;
  std::uint16_t keys = 256;

  // clang-tidy 14 takes the comparison that the compiler writes for a 0.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const AdmissionThreshold&) const = default;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->cutoff, this->keys);
  }
};

inline constexpr std::uint16_t kAdmissionKeys = 256;

// True when `threshold` lets a request of this class and key pass.
constexpr bool Admits(AdmissionThreshold threshold,
                      Importance importance,
                      std::uint16_t admission_key) {
  if (importance != threshold.cutoff) {
    return importance < threshold.cutoff;
  }
  return admission_key < threshold.keys;
}

// The stricter of two thresholds.
constexpr AdmissionThreshold Stricter(AdmissionThreshold left,
                                      AdmissionThreshold right) {
  if (left.cutoff != right.cutoff) {
    return left.cutoff < right.cutoff ? left : right;
  }
  return left.keys <= right.keys ? left : right;
}

// Load of one gate, as it tells it on answers and heartbeats.
struct LoadReport {
  std::uint32_t running = 0;  // Requests at the backend server.
  std::uint32_t queued = 0;   // Requests that wait for a slot.
  std::uint32_t limit = 0;    // Concurrency limit in force.
  bool leaving = false;       // Takes no new work.
  bool backend_up = true;
  // Mean time of a request at the backend server; zero when not known.
  Duration service_time{};
  // Its time over what the endpoints of its service take for the same work;
  // zero when not known.
  double slowness = 0;
  // Of the answers, lately: failures of the backend server itself.
  double failure_share = 0;
  // Calls that the backend server sends while it runs one request, mean.
  double calls_per_request = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    // Parts in a million: the archive has whole numbers alone.
    constexpr double kParts = 1e6;
    // Rounded, so that what was read is written again as it came.
    constexpr double kHalf = 0.5;
    const auto in_parts = [](double value) {
      return static_cast<std::uint32_t>(value * kParts + kHalf);
    };
    auto slow = in_parts(this->slowness);
    auto failing = in_parts(this->failure_share);
    auto calls = in_parts(this->calls_per_request);
    archive(this->running, this->queued, this->limit, this->leaving,
            this->backend_up, this->service_time, slow, failing, calls);
    this->slowness = slow / kParts;
    this->failure_share = failing / kParts;
    this->calls_per_request = calls / kParts;
  }
};

// Mean time that an endpoint takes for the requests of a route.
struct RouteTime {
  std::uint32_t route = 0;  // Hash of its name.
  std::uint32_t microseconds = 0;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->route, this->microseconds);
  }
};

// Time for which a request held slots of one service, in all calls below it.
struct ServiceCost {
  std::string service;
  Duration slot_time{};

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->service, this->slot_time);
  }
};

// Requests of one importance differ in what is lost when they are refused.
enum class DemandKind : std::uint8_t {
  kReturned,  // Was refused, came back as told, can still be in time.
  kNew,
  kLate,  // Can't be in time any more, or came back at once.
};

inline constexpr int kDemandKindCount = 3;
inline constexpr int kDemandPriorities = kImportanceCount * kDemandKindCount;

// Position in the order in which requests are admitted; smaller goes first.
constexpr int DemandPriority(Importance importance, DemandKind demand_kind) {
  return static_cast<int>(importance) * kDemandKindCount +
         static_cast<int>(demand_kind);
}

// Requests for one route that a node's callers sent lately, whether they were
// admitted or not, by rank: thousandths of a request a second.
struct RouteDemand {
  std::string route;
  std::array<std::uint32_t, kDemandPriorities> millirequests_per_second{};

  // Ranks without requests, most of them, are left out.
  template <class Archive>
  void serialize(Archive& archive) {
    std::uint16_t present = 0;
    for (std::size_t rank = 0; rank < this->millirequests_per_second.size();
         ++rank) {
      present |= static_cast<std::uint16_t>(
          (this->millirequests_per_second[rank] != 0) << rank);
    }
    archive(this->route, present);
    for (std::size_t rank = 0; rank < this->millirequests_per_second.size();
         ++rank) {
      if ((present >> rank & 1) != 0) {
        archive(this->millirequests_per_second[rank]);
      }
    }
  }
};

// Demand of many nodes, added up.
struct AggregateDemand {
  // Empty: all failure domains but the sender's.
  std::string failure_domain;
  Duration age{};  // Of its oldest part.
  std::uint32_t nodes = 0;
  std::vector<RouteDemand> routes;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->failure_domain, this->age, this->nodes, this->routes);
  }
};

enum class VisitKind : std::uint8_t {
  // Runs the request.
  kRun,
  // Asks for a fresh binding; runs nothing.
  kIssueBinding,
  // Asks what became of `binding`, and closes it if it has not run.
  kQueryBinding,
  // Records at the old gate that `binding` moved to `moved_to`, so that a
  // resend under the old one is led there. Refused unless it has not run.
  kMoveBinding,
};

// An attempt as it goes from origin to gate. The HTTP request travels beside.
struct VisitRequest {
  AttemptId attempt;
  VisitKind kind = VisitKind::kRun;
  std::string service;
  std::string route;
  // Time left until the deadline when the frame is written.
  Duration remaining{};
  Importance importance = Importance::kNormal;
  std::uint16_t admission_key = 0;  // In [0, kAdmissionKeys).
  bool idempotent = false;
  // Retries that the visit may spend or hand to its nested calls.
  int allowance = 0;
  std::uint64_t request_id = 0;   // Of the original request.
  std::uint64_t fingerprint = 0;  // Of method, target and body.
  std::string share;              // Team or caller that is charged.
  std::optional<Binding> binding;
  std::optional<Binding> moved_to;
  bool nested = false;  // Sent by a backend server that runs a request.
  bool returned_after_refusal = false;  // Its caller was refused before.
  Duration max_wait{};                  // Longest wait for a slot.
  bool is_capacity_query =
      false;  // Asks whether the gate takes work; runs nothing.

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->kind, this->service, this->route,
            this->remaining, this->importance, this->admission_key,
            this->idempotent, this->allowance, this->request_id,
            this->fingerprint, this->share, this->binding, this->moved_to,
            this->nested, this->returned_after_refusal, this->max_wait,
            this->is_capacity_query);
  }
};

// A gate's last word on an attempt. The HTTP response travels beside.
struct VisitReply {
  AttemptId attempt;
  Outcome outcome = Outcome::kUnknown;
  Reason reason = Reason::kNone;
  // When a refused caller should come back; zero says nothing.
  Duration retry_after{};
  int unspent_allowance = 0;
  LoadReport load;
  // Strictest threshold of each service that this route's path has met, the
  // gate's own included.
  std::vector<std::pair<std::string, AdmissionThreshold>> thresholds;
  // Binding for the caller's next non-idempotent request to this service, or
  // the fresh one that kIssueBinding asked for.
  std::optional<Binding> next_binding;
  // Where a moved binding now lives.
  std::optional<Binding> moved_to;
  // The request reached the backend server, whatever became of it there.
  bool offered = false;
  // Slot time that the visit took, of a completed one, or would have taken, of
  // one refused for lack of room.
  std::vector<ServiceCost> costs;

  template <class Archive>
  void serialize(Archive& archive) {
    archive(this->attempt, this->outcome, this->reason, this->retry_after,
            this->unspent_allowance, this->load, this->thresholds,
            this->next_binding, this->moved_to, this->offered, this->costs);
  }
};

// A whole answer, shared between the table of finished requests and writers.
using Answer = std::shared_ptr<const HttpResponse>;

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_MESSAGES_H_
