#ifndef TESTS_DECISION_GATE_HARNESS_H_
#define TESTS_DECISION_GATE_HARNESS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/gate.h"

namespace agaterun::decision {

inline constexpr NodeAddress kGateAddress{.ip = 0x7f000001, .port = 7400};
inline constexpr NodeAddress kOriginAddress{.ip = 0x7f000002, .port = 7400};

// State with a single service "drafts", which has an idempotent route "read"
// and a non-idempotent route "write".
inline std::shared_ptr<TicketState> MakeState(
    int slots,
    Duration queue_time = 100ms,
    std::map<std::string, double> weights = {}) {
  auto service = std::make_shared<ServiceState>();
  service->name = "drafts";
  service->slots = slots;
  service->queue_time = queue_time;
  service->routes = {RouteState{.name = "read", .idempotent = true},
                     RouteState{.name = "write", .idempotent = false}};
  auto policy = std::make_shared<PolicyState>();
  policy->share_weights = std::move(weights);
  auto state = std::make_shared<TicketState>();
  state->items["service drafts"] = TicketItem{.service = service};
  state->items["policy shares"] = TicketItem{.policy = policy};
  return state;
}

// A gate on virtual time. `actions` collects the actions that the gate
// requested since the test last cleared it.
class GateHarness {
 public:
  struct Options {
    int slots = 2;
    Duration queue_time = 100ms;
    std::uint64_t seed = 1;
    MechanismSet disabled = {};
    std::map<std::string, double> weights = {};
  };

  GateHarness() : GateHarness(Options{}) {}
  explicit GateHarness(const Options& options)
      : random(options.seed),
        gate({.self = kGateAddress,
              .incarnation = 7,
              .service = "drafts",
              .disabled = options.disabled},
             random) {
    this->gate.SetState(
        0s, MakeState(options.slots, options.queue_time, options.weights));
  }

  // A request of a new call; tests may modify it before Arrive.
  VisitRequest Request() {
    return {.attempt = {.origin = kOriginAddress,
                        .incarnation = 3,
                        .call = ++this->calls,
                        .number = 1},
            .service = "drafts",
            .route = "read",
            .remaining = 1s,
            .idempotent = true,
            .allowance = 3,
            .fingerprint = this->calls};
  }

  VisitRequest MakeBoundRequest(const Binding& binding,
                                std::uint64_t fingerprint = 1) {
    auto request = this->Request();
    request.route = "write";
    request.idempotent = false;
    request.fingerprint = fingerprint;
    request.binding = binding;
    return request;
  }

  AttemptId Arrive(const VisitRequest& request) {
    this->gate.OnVisitArrived(
        this->now, {.from = kOriginAddress, .request = request}, this->actions);
    return request.attempt;
  }

  // Requests a new binding from the gate and returns it.
  Binding IssueBinding() {
    auto request = this->Request();
    request.kind = VisitKind::kIssueBinding;
    const auto attempt = this->Arrive(request);
    return *this->FindReply(attempt)->next_binding;
  }

  VisitReply SendBindingRequest(
      VisitKind kind,
      const Binding& binding,
      std::optional<Binding> moved_to = std::nullopt,
      std::optional<AttemptId> attempt = std::nullopt) {
    auto request = this->Request();
    request.kind = kind;
    request.binding = binding;
    request.moved_to = moved_to;
    if (attempt) {
      request.attempt = *attempt;
    }
    this->Arrive(request);
    return *this->FindReply(request.attempt);
  }

  void Answer(VisitId visit, int status = 200, std::string body = "whole") {
    this->gate.OnBackendResponded(
        this->now,
        {.visit = visit,
         .answer = std::make_shared<HttpResponse>(
             HttpResponse{.status = status, .body = std::move(body)})},
        this->actions);
  }

  void FailBackend(VisitId visit, BackendFailure failure) {
    this->gate.OnBackendFailed(this->now, {.visit = visit, .failure = failure},
                               this->actions);
  }

  void Cancel(const AttemptId& attempt) {
    this->gate.OnVisitCancelled(this->now, {.attempt = attempt}, this->actions);
  }

  // Advances the time to `instant`, with every wake-up on the way.
  void AdvanceTo(Instant instant) {
    while (true) {
      const auto wake = this->gate.NextWake();
      if (!wake || *wake > instant) {
        break;
      }
      this->now = std::max(this->now, *wake);
      this->gate.OnTick(this->now, this->actions);
    }
    this->now = instant;
  }

  // Returns the last reply to `attempt`, or nothing.
  std::optional<VisitReply> FindReply(const AttemptId& attempt) const {
    std::optional<VisitReply> reply;
    for (const auto& action : this->actions) {
      if (const auto* sent = std::get_if<ReplyToOrigin>(&action);
          sent != nullptr && sent->reply.attempt == attempt) {
        reply = sent->reply;
      }
    }
    return reply;
  }

  // Returns the visit that was started for `attempt`, or nothing.
  std::optional<VisitId> FindStartedVisit(const AttemptId& attempt) const {
    for (const auto& action : this->actions) {
      if (const auto* start = std::get_if<StartBackend>(&action);
          start != nullptr && start->attempt == attempt) {
        return start->visit;
      }
    }
    return std::nullopt;
  }

  int CountAborts() const {
    int count = 0;
    for (const auto& action : this->actions) {
      count += std::holds_alternative<AbortBackend>(action) ? 1 : 0;
    }
    return count;
  }

  SeededRandom random;
  Gate gate;
  Actions actions;
  Instant now{};

 private:
  CallId calls = 0;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_GATE_HARNESS_H_
