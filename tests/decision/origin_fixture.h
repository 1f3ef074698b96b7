#ifndef TESTS_DECISION_ORIGIN_FIXTURE_H_
#define TESTS_DECISION_ORIGIN_FIXTURE_H_

#include <algorithm>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/verify.h"
#include "libraries/decision/origin.h"
#include "libraries/decision/retry_allowance.h"

namespace agaterun::decision {

// The node of the endpoint with this number.
inline NodeAddress NodeOf(int number) {
  return {.ip = 0x0a000001, .port = static_cast<std::uint16_t>(7000 + number)};
}

// A service with `endpoints` endpoints, numbered from `first` and distributed
// over `domains` failure domains. It has an idempotent route /read and a
// non-idempotent route /write.
inline std::shared_ptr<ServiceState> MakeService(const std::string& name,
                                                 int endpoints,
                                                 int first = 1,
                                                 int domains = 1) {
  auto service = std::make_shared<ServiceState>();
  service->name = name;
  service->slots = 80;
  for (int number = 0; number < endpoints; ++number) {
    service->endpoints.push_back(
        {.name = name + std::to_string(number),
         .node = NodeOf(first + number),
         .region = "cascadia",
         .failure_domain = "domain" + std::to_string(number % domains)});
  }
  service->routes = {{.name = "read",
                      .method = "GET",
                      .path_prefix = "/read",
                      .importance = Importance::kNormal,
                      .idempotent = true},
                     {.name = "write",
                      .method = "POST",
                      .path_prefix = "/write",
                      .importance = Importance::kCritical}};
  return service;
}

inline void AddTo(TicketState& state, std::shared_ptr<ServiceState> service) {
  const auto name = "service " + service->name;
  state.items[name] = {.name = name, .service = std::move(service)};
}

inline void AddTo(TicketState& state, double retry_budget) {
  auto policy = std::make_shared<PolicyState>();
  policy->retry_budget = retry_budget;
  state.items["policy shares"] = {.name = "policy shares", .policy = policy};
}

// Stands in for a gate: keeps the visits and the retry allowance of each.
class FakeParents final : public ParentVisits {
 public:
  struct Visit {
    ParentVisit visit;
    RetryAllowance allowance{{.retries = 0}};
    int nested = 0;
    ServiceThresholds thresholds;
  };

  void Add(VisitId id, Visit visit) { this->visits[id] = std::move(visit); }
  void Remove(VisitId id) { this->visits.erase(id); }
  const Visit& At(VisitId id) const { return this->visits.at(id); }

  std::optional<ParentVisit> FindParent(VisitId visit) const override {
    const auto found = this->visits.find(visit);
    return found == this->visits.end() ? std::nullopt
                                       : std::optional(found->second.visit);
  }
  int LendAllowance(VisitId visit, int wanted) override {
    // Lends at most half of the remaining retries, so that later nested calls
    // get some as well.
    auto& allowance = this->visits.at(visit).allowance;
    return allowance.Lend(std::min(wanted, (allowance.Remaining() + 1) / 2));
  }
  void NestedCallStarted(Instant /*now*/, VisitId visit) override {
    ++this->visits.at(visit).nested;
  }
  void NestedCallEnded(Instant /*now*/,
                       VisitId visit,
                       int unspent,
                       const ServiceThresholds& thresholds) override {
    const auto found = this->visits.find(visit);
    if (found == this->visits.end()) {
      return;
    }
    --found->second.nested;
    found->second.thresholds = thresholds;
    VERIFY(found->second.allowance.Return(unspent).has_value());
  }

 private:
  std::unordered_map<VisitId, Visit> visits;
};

// Actions of one kind, in order.
template <typename Kind>
std::vector<Kind> AllOf(const Actions& actions) {
  std::vector<Kind> found;
  for (const auto& action : actions) {
    if (const auto* one = std::get_if<Kind>(&action); one != nullptr) {
      found.push_back(*one);
    }
  }
  return found;
}

inline Answer MakeAnswer(const std::string& body = "") {
  return std::make_shared<HttpResponse>(
      HttpResponse{.status = 200, .body = body});
}

// An origin without other nodes. Its ticket state names three endpoints of the
// service "vault".
struct OriginFixture {
  explicit OriginFixture(
      Origin::Options options = {.self = NodeOf(99),
                                 .incarnation = 7,
                                 .region = "cascadia",
                                 .failure_domain = "domain0"})
      : random(1), origin(options, parents, peers, random) {
    TicketState state;
    AddTo(state, MakeService("vault", 3));
    AddTo(state, 1000.0);
    this->origin.SetState(std::make_shared<TicketState>(state));
  }

  CallArrived MakeCall(CallId id, bool idempotent) const {
    return {.call = id,
            .service = "vault",
            .method = idempotent ? "GET" : "POST",
            .path = idempotent ? "/read/1" : "/write",
            .fingerprint = 5};
  }

  // Each passes an event to the origin and returns the origin's actions.
  Actions Arrive(const CallArrived& event) {
    Actions actions;
    this->origin.OnCallArrived(this->now, event, actions);
    return actions;
  }
  Actions Reply(VisitReply reply, Answer answer = nullptr) {
    Actions actions;
    this->origin.OnAttemptReplied(
        this->now, {.reply = std::move(reply), .answer = std::move(answer)},
        actions);
    return actions;
  }
  Actions Lose(const AttemptId& attempt, bool sent) {
    Actions actions;
    this->origin.OnAttemptLost(this->now, {.attempt = attempt, .sent = sent},
                               actions);
    return actions;
  }

  Instant now = 1s;
  SeededRandom random;
  FakeParents parents;
  PeerTable peers;
  Origin origin;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_ORIGIN_FIXTURE_H_
