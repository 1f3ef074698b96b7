#include "libraries/calls/call_origin.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "tests/calls/test_dialect.h"

namespace agaterun::calls {

BOOST_AUTO_TEST_SUITE(CallOriginTest)

using decision::Outcome;
using decision::Reason;

constexpr std::uint16_t kPort = 7300;
constexpr std::uint64_t kKeySeed = 7;
constexpr NodeAddress kSelf{.ip = 99, .port = kPort};

struct Sent {
  NodeAddress to;
  decision::VisitRequest visit;
  SharedRequest request;
};

class RecordingOutput final : public OriginOutput {
 public:
  void SendVisit(NodeAddress to,
                 const decision::VisitRequest& visit,
                 const SharedRequest& request) override {
    this->sent.push_back({to, visit, request});
  }
  void CancelVisit(NodeAddress /*to*/,
                   const decision::AttemptId& attempt) override {
    this->cancelled.push_back(attempt);
  }
  void NestedCallStarted() override { ++this->started_nested_calls; }
  void NestedCallEnded(
      VisitNumber parent,
      const std::vector<decision::ServiceCost>& costs) override {
    this->ended_nested_calls.push_back(parent);
    this->nested_costs = costs;
  }
  void RespondToCaller(decision::CallId call,
                       const decision::Answer& response,
                       const HttpRequest& /*request*/,
                       const CallSummary& summary) override {
    BOOST_TEST(!this->responses.contains(call),
               "second response to the same call");
    this->responses[call] = *response;
    this->call_summaries[call] = summary;
  }

  std::deque<Sent> sent;
  std::vector<decision::AttemptId> cancelled;
  int started_nested_calls = 0;
  std::vector<VisitNumber> ended_nested_calls;
  std::vector<decision::ServiceCost> nested_costs;
  std::map<decision::CallId, HttpResponse> responses;
  std::map<decision::CallId, CallSummary> call_summaries;
};

struct Fixture {
  Fixture() {
    auto configuration = std::make_shared<routing::Configuration>();
    configuration->version = 1;
    configuration->routes = {{.name = "read",
                              .host = "desk.example",
                              .prefix = "/read/",
                              .kind = routing::RequestKind::kIdempotent,
                              .timeout = 1s,
                              .target_latency = 800ms,
                              .priority = 2,
                              .max_endpoints = 2,
                              .services = {{"drafts", 1}}},
                             {.name = "send",
                              .host = "desk.example",
                              .prefix = "/send/",
                              .kind = routing::RequestKind::kAtMostOnce,
                              .timeout = 1s,
                              .target_latency = 800ms,
                              .priority = 0,
                              .max_endpoints = 2,
                              .services = {{"drafts", 1}}}};
    this->origin.SetConfiguration(configuration, kKeySeed);
    std::vector<membership::EndpointEntry> entries;
    for (std::uint32_t ip = 1; ip <= 3; ++ip) {
      entries.push_back({.id = std::to_string(ip),
                         .service = "drafts",
                         .address = {.ip = ip, .port = 8000},
                         .failure_domain = "a",
                         .slots = 20,
                         .started_at = 5});
    }
    this->fleet.SetList(this->now, entries);
    this->RecordMessagesOfAll();
  }

  // Records a message received from each node.
  void RecordMessagesOfAll() {
    for (std::uint32_t ip = 1; ip <= 3; ++ip) {
      this->fleet.Received(this->now, {.ip = ip, .port = kPort});
    }
  }

  void SendRequest(decision::CallId call,
                   const std::string& target,
                   const std::string& deadline_ms = "5000",
                   std::optional<NestedCallParent> parent = std::nullopt) {
    HttpRequest request{.method = "GET", .target = target};
    request.headers = {{"Host", "desk.example"},
                       {"Id", std::to_string(call)},
                       {"Caller", "forged"},
                       {"Expected", "forged"}};
    if (!deadline_ms.empty()) {
      request.headers.push_back({"Left", deadline_ms});
    }
    this->origin.OnRequest(this->now, call, std::move(request), parent);
  }

  // Delivers the gate's reply to the attempt that was sent last.
  void DeliverReply(Outcome outcome,
                    Reason reason,
                    bool offered = false,
                    int status = 200) {
    decision::VisitReply reply{
        .attempt = this->output.sent.back().visit.attempt,
        .outcome = outcome,
        .reason = reason,
        .load = this->load,
        .offered = offered,
        .costs = this->costs};
    decision::Answer answer;
    if (outcome == Outcome::kCompleted) {
      reply.offered = true;
      auto response = std::make_shared<HttpResponse>();
      response->status = status;
      answer = response;
    }
    this->origin.OnReply(this->now, reply, answer);
  }

  // Three nodes, of which this is the first, report crashes at which the
  // request was running.
  void Quarantine(std::uint64_t fingerprint, std::uint32_t first_node) {
    for (std::uint32_t ip = first_node; ip < first_node + 3; ++ip) {
      this->crashes.RecordReportedCrash(
          this->now, {.ip = ip, .port = kPort},
          {.id = ip, .fingerprints = {fingerprint}});
    }
  }

  int ResponseStatus(decision::CallId call) {
    return this->output.responses.contains(call)
               ? this->output.responses.at(call).status
               : 0;
  }

  // Fills the retry budget, so that retries are allowed.
  void FillRetryBudget() {
    for (decision::CallId call = 1000; call < 1100; ++call) {
      this->SendRequest(call, "/read/1");
      this->DeliverReply(Outcome::kCompleted, Reason::kNone);
    }
    this->output.sent.clear();
  }

  Instant now = 100s;
  std::vector<decision::ServiceCost> costs;  // Reported in each reply.
  decision::LoadReport load{.limit = 18};    // Reported in each reply.
  Dialect dialect = TestDialect();
  SeededRandom random{9};
  membership::Fleet fleet{
      {.self = kSelf, .node_port = kPort, .failure_domain = "a"}};
  RecordingOutput output;
  retries::CrashHistory crashes;
  CallOrigin origin{
      {.self = kSelf,
       .incarnation = 1,
       .failure_domain = "a",
       .service = "desk",
       .retry_options = {.ratio = 0.2, .extra = 0, .window = 10s}},
      this->dialect,
      this->crashes,
      this->fleet,
      this->random,
      this->output};
};

BOOST_FIXTURE_TEST_CASE(ForwardsResponseUnchanged, Fixture) {
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kCompleted, Reason::kNone, true, 404);
  BOOST_TEST(this->ResponseStatus(1) == 404);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

// Failure: a popular request that was in flight at three crashes was refused by
// the nodes of other services, though it was completed for them all the time.
BOOST_FIXTURE_TEST_CASE(PopularRequestIsServedAfterCrashesOfOthers, Fixture) {
  constexpr int kCrashes = 6;
  for (std::uint64_t crash = 1; crash <= kCrashes; ++crash) {
    this->SendRequest(crash, "/read/today");
    BOOST_TEST_REQUIRE(this->output.sent.size() == crash);
    this->crashes.RecordReportedCrash(
        this->now, {.ip = 1, .port = kPort},
        {.id = crash,
         .fingerprints = {this->output.sent.back().visit.fingerprint}});
    this->DeliverReply(Outcome::kCompleted, Reason::kNone);
    this->now += 5s;
    this->RecordMessagesOfAll();
  }
  this->SendRequest(100, "/read/today");
  BOOST_TEST(this->ResponseStatus(100) == 0);
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(100) == 200);
}

// The opposite: a request that has never been completed is refused after three
// crashes, whatever else is completed meanwhile. A failure that a backend
// server reports is no completion.
BOOST_FIXTURE_TEST_CASE(RequestThatOnlyCrashesIsRefused, Fixture) {
  this->SendRequest(50, "/read/crashing");
  const auto fingerprint = this->output.sent.back().visit.fingerprint;
  this->DeliverReply(Outcome::kCompleted, Reason::kNone, true, 500);
  // The fourth crash is that of its trial.
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    this->now += 5s;
    this->RecordMessagesOfAll();
    this->crashes.RecordReportedCrash(
        this->now, {.ip = 1, .port = kPort},
        {.id = crash, .fingerprints = {fingerprint}});
    this->SendRequest(crash, "/read/today");
    this->DeliverReply(Outcome::kCompleted, Reason::kNone);
    this->SendRequest(10 + crash, "/read/other");
    this->DeliverReply(Outcome::kCompleted, Reason::kNone, true, 500);
    if (crash >= 3) {
      this->SendRequest(100 + crash, "/read/crashing");
      BOOST_TEST(this->ResponseStatus(100 + crash) == 503);
    }
  }
  this->now += 60s;
  this->RecordMessagesOfAll();
  this->SendRequest(200, "/read/crashing");
  BOOST_TEST(this->ResponseStatus(200) == 503);
}

// A quarantined request that is tried goes to the node that may try it, and to
// no other when that one can't run it.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestGoesToTrialNodeAlone, Fixture) {
  this->SendRequest(1, "/read/today");
  const auto fingerprint = this->output.sent.back().visit.fingerprint;
  this->Quarantine(fingerprint, /*first_node=*/2);
  this->now += 3s;
  this->RecordMessagesOfAll();
  const auto sent = this->output.sent.size();
  for (decision::CallId call = 2; call <= 5; ++call) {
    this->SendRequest(call, "/read/today");
    BOOST_TEST_REQUIRE(this->output.sent.size() == sent + call - 1);
    BOOST_TEST(this->output.sent.back().to.ip == 2U);
    this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown);
    BOOST_TEST(this->ResponseStatus(call) == 503);
  }
  this->SendRequest(6, "/read/today");
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(!this->crashes.IsQuarantined(this->now, fingerprint));
}

// Failure: a request that had been running at three endpoints which were lost
// for good was refused, though others of the service were left to try it.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestIsTriedAtListedEndpoint, Fixture) {
  this->SendRequest(1, "/read/today");
  const auto fingerprint = this->output.sent.back().visit.fingerprint;
  this->Quarantine(fingerprint, /*first_node=*/4);
  this->now += 3s;
  this->RecordMessagesOfAll();
  this->SendRequest(2, "/read/today");
  BOOST_TEST(this->ResponseStatus(2) == 0);
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(2) == 200);
}

BOOST_FIXTURE_TEST_CASE(ReplacesReservedRequestHeaders, Fixture) {
  this->SendRequest(1, "/read/1");
  const auto& headers = this->output.sent.back().request->headers;
  BOOST_TEST(*FindHeader(headers, "Caller") == "desk");
  BOOST_TEST((FindHeader(headers, "Expected") == nullptr));
  BOOST_TEST((FindHeader(headers, "Left") == nullptr));
  BOOST_TEST(*FindHeader(headers, "Id") == "1");
}

BOOST_FIXTURE_TEST_CASE(UsesShorterOfTimeoutAndDeadline, Fixture) {
  this->SendRequest(1, "/read/1", "5000");
  BOOST_TEST((this->output.sent.back().visit.remaining == 1s));
  this->SendRequest(2, "/read/1", "300");
  BOOST_TEST((this->output.sent.back().visit.remaining == 300ms));
  this->SendRequest(3, "/read/1", "");
  BOOST_TEST((this->output.sent.back().visit.remaining == 1s));
}

// Failure: a reply that was read after the deadline of its call, such as after
// a suspension, sent a visit with a negative remaining time. The other node
// took that for a malformed message and closed the connection, with the
// responses to all other requests on it.
BOOST_FIXTURE_TEST_CASE(NothingIsSentAfterTheDeadline, Fixture) {
  this->SendRequest(1, "/read/1");
  this->SendRequest(2, "/read/2");
  const auto first = this->output.sent.at(0).visit.attempt;
  this->now += 1100ms;
  this->RecordMessagesOfAll();
  this->DeliverReply(Outcome::kNotRun, Reason::kOverloaded);
  this->origin.OnAttemptLost(this->now, first, /*was_sent=*/false);
  BOOST_TEST(this->output.sent.size() == 2U);
  for (const decision::CallId call : {1, 2}) {
    BOOST_TEST(this->ResponseStatus(call) == 503);
  }
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(RejectsRequestsWithoutRouteOrId, Fixture) {
  this->SendRequest(1, "/unknown/1");
  BOOST_TEST(this->ResponseStatus(1) == 404);
  this->origin.OnRequest(this->now, 2,
                         {.method = "GET",
                          .target = "/read/1",
                          .headers = {{"Host", "desk.example"}}},
                         std::nullopt);
  BOOST_TEST(this->ResponseStatus(2) == 400);
}

BOOST_FIXTURE_TEST_CASE(MissingConfigurationReturnsRetryAfter, Fixture) {
  CallOrigin unconfigured({.self = kSelf}, this->dialect, this->crashes,
                          this->fleet, this->random, this->output);
  unconfigured.OnRequest(this->now, 1,
                         {.method = "GET",
                          .target = "/read/1",
                          .headers = {{"Host", "desk.example"}, {"Id", "1"}}},
                         std::nullopt);
  BOOST_TEST(this->ResponseStatus(1) == 503);
  BOOST_TEST((FindHeader(this->output.responses.at(1).headers, "Retry-After") !=
              nullptr));
}

// A refusal by the gate uses no retry budget, since the request has not reached
// a backend server.
BOOST_FIXTURE_TEST_CASE(TriesNextEndpointAfterGateRefusal, Fixture) {
  for (const auto reason :
       {Reason::kLeaving, Reason::kBackendDown, Reason::kNoSuchService}) {
    this->output.sent.clear();
    this->SendRequest(1, "/send/1");
    this->DeliverReply(Outcome::kNotRun, reason);
    BOOST_TEST_REQUIRE(this->output.sent.size() == 2U);
    BOOST_TEST((this->output.sent[0].to != this->output.sent[1].to));
    this->DeliverReply(Outcome::kCompleted, Reason::kNone);
    BOOST_TEST(this->ResponseStatus(1) == 200);
    this->output.responses.clear();
  }
}

// Failure: a request that another instance had rejected was sent again without
// use of the retry budget.
BOOST_FIXTURE_TEST_CASE(RetryAfterOtherInstanceUsesRetryBudget, Fixture) {
  this->SendRequest(1, "/send/1");
  this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown, /*offered=*/true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->ResponseStatus(1) == 503);
  this->FillRetryBudget();
  this->SendRequest(2, "/send/1");
  this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown, /*offered=*/true);
  BOOST_TEST(this->output.sent.size() == 2U);
}

// Failure: a few seconds after the last load report, a request with nested
// calls was retried at the cost of one without.
BOOST_FIXTURE_TEST_CASE(RetryCostsNestedCallsAlsoWithoutRecentReport, Fixture) {
  this->load.calls_per_request = 1;
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  this->now += 10s;
  for (const auto& [node, state] : this->fleet.All()) {
    this->fleet.Received(this->now, node);
  }
  // Earn more than one retry, and less than one with its nested calls.
  for (decision::CallId call = 2; call <= 12; ++call) {
    this->SendRequest(call, "/read/1");
  }
  const auto sent = this->output.sent.size();
  const auto attempt = this->output.sent.back().visit.attempt;
  this->origin.OnAttemptLost(this->now, attempt, /*was_sent=*/true);
  BOOST_TEST(this->output.sent.size() == sent);
  BOOST_TEST(this->ResponseStatus(attempt.call) == 502);
}

BOOST_FIXTURE_TEST_CASE(RefusedByAllEndpointsReturns503, Fixture) {
  this->SendRequest(1, "/send/1");
  for (int node = 0; node < 3; ++node) {
    this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown);
  }
  BOOST_TEST(this->ResponseStatus(1) == 503);
  BOOST_TEST((FindHeader(this->output.responses.at(1).headers, "Retry-After") !=
              nullptr));
}

BOOST_FIXTURE_TEST_CASE(NonIdempotentRequestIsNotRetriedAfterUnknownOutcome,
                        Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/send/1");
  this->DeliverReply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->ResponseStatus(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(IdempotentRetryRespectsEndpointLimit, Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 2U);
  // The route allows at most two endpoints.
  this->DeliverReply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(this->ResponseStatus(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(ExhaustedRetryBudgetPreventsRetry, Fixture) {
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->ResponseStatus(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(BackendServerRejectionReturns503, Fixture) {
  this->SendRequest(1, "/send/1");
  this->DeliverReply(Outcome::kNotRun, Reason::kBackendRejected, true);
  BOOST_TEST(this->ResponseStatus(1) == 503);
}

BOOST_FIXTURE_TEST_CASE(RefusalAfterUnknownOutcomeReturns502, Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kUnknown, Reason::kBackendFailed, true);
  this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown);
  this->DeliverReply(Outcome::kNotRun, Reason::kBackendDown);
  BOOST_TEST(this->ResponseStatus(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(TimeoutReturns504AndCancelsAttempt, Fixture) {
  this->SendRequest(1, "/read/1");
  BOOST_TEST((this->origin.NextWake() == std::optional(this->now + 1s)));
  this->now += 1s;
  this->origin.OnTick(this->now);
  BOOST_TEST(this->ResponseStatus(1) == 504);
  BOOST_TEST(this->output.cancelled.size() == 1U);
  // A late reply is ignored.
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(1) == 504);
}

BOOST_FIXTURE_TEST_CASE(CallerDisconnectCancelsAttempt, Fixture) {
  this->SendRequest(1, "/read/1");
  this->origin.OnCallerDisconnected(this->now, 1);
  BOOST_TEST(this->output.cancelled.size() == 1U);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(UnsentAttemptIsRetriedAtAnotherNode, Fixture) {
  this->SendRequest(1, "/send/1");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*was_sent=*/false);
  BOOST_TEST(this->output.sent.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(LostNonIdempotentAttemptReturns502, Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/send/1");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*was_sent=*/true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->ResponseStatus(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(IdempotentAttemptAtUnresponsiveNodeIsRetried, Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/read/1");
  const auto first = this->output.sent.back().to;
  this->now += 950ms;
  this->SendRequest(2, "/read/2");
  this->now += 40ms;
  this->origin.OnTick(this->now);
  BOOST_TEST((this->output.sent.back().to != first));
}

BOOST_FIXTURE_TEST_CASE(NestedCallInheritsImportance, Fixture) {
  this->SendRequest(
      1, "/read/1", "5000",
      NestedCallParent{.visit = 4,
                       .importance = decision::Importance::kCritical});
  const auto& visit = this->output.sent.back().visit;
  BOOST_TEST(visit.nested);
  BOOST_TEST((visit.importance == decision::Importance::kCritical));
}

BOOST_FIXTURE_TEST_CASE(FailedRequestWithoutNestedCallsIsRetried, Fixture) {
  this->FillRetryBudget();
  this->SendRequest(1, "/read/1");
  this->DeliverReply(Outcome::kCompleted, Reason::kNone, true, 500);
  BOOST_TEST(this->output.sent.size() == 2U);
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(1) == 200);
}

// After a cold start into an overload no request of the route succeeds.
// Admission has to learn the route's cost from the failed requests alone.
BOOST_FIXTURE_TEST_CASE(RouteWithOnlyFailuresIsShedOnEntry, Fixture) {
  // 60 slots; 100 requests a second take 200.
  this->load.running = 18;
  this->costs = {{.service = "drafts", .slot_time = 2s}};
  int refused = 0;
  constexpr decision::CallId kCalls = 300;
  for (decision::CallId call = 1; call <= kCalls; ++call) {
    this->now += 10ms;
    this->origin.UpdateAdmission(this->now);
    const auto sent = this->output.sent.size();
    this->SendRequest(call, "/read/1");
    if (this->output.sent.size() == sent) {
      ++refused;
    } else {
      this->DeliverReply(Outcome::kCompleted, Reason::kNone, true, 500);
    }
  }
  BOOST_TEST(refused > 150);
}

// A nested call that is refused for lack of capacity reports its estimated cost
// to its parent request.
BOOST_FIXTURE_TEST_CASE(RefusedNestedCallReportsCostOnce, Fixture) {
  this->costs = {{.service = "drafts", .slot_time = 40ms}};
  this->SendRequest(1, "/read/1", "5000", NestedCallParent{.visit = 7});
  while (this->ResponseStatus(1) == 0) {
    this->DeliverReply(Outcome::kNotRun, Reason::kOverloaded);
  }
  BOOST_TEST(this->ResponseStatus(1) == 503);
  // Reported once, though several gates refused the call.
  BOOST_TEST(this->output.ended_nested_calls.size() == 1U);
  BOOST_TEST((this->output.nested_costs.at(0).slot_time == 40ms));
}

// During a planned stop callers get 503 with Retry-After, so that they use
// another host. Requests that run on this host can still make nested calls.
BOOST_FIXTURE_TEST_CASE(StoppingOriginAcceptsOnlyNestedCalls, Fixture) {
  this->origin.StopAcceptingCalls();
  this->SendRequest(1, "/send/x");
  BOOST_TEST(this->output.responses.at(1).status == 503);
  BOOST_TEST((FindHeader(this->output.responses.at(1).headers, "Retry-After") !=
              nullptr));
  BOOST_TEST(this->output.sent.empty());
  this->SendRequest(2, "/read/x", "5000", NestedCallParent{.visit = 4});
  BOOST_TEST(this->output.sent.size() == 1U);
}

// Guards against a network partition or loss of power that has not been
// detected yet: a non-idempotent request isn't sent to an unreachable node, so
// that the caller learns reliably whether it ran.
BOOST_FIXTURE_TEST_CASE(CapacityQueryPrecedesRequestToStaleNode, Fixture) {
  this->now += 600ms;
  this->SendRequest(1, "/send/x");
  BOOST_TEST(this->output.sent.back().visit.is_capacity_query);
  BOOST_TEST(this->output.sent.back().request->target.empty());
  this->DeliverReply(Outcome::kNotRun, Reason::kNone);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
  BOOST_TEST(this->output.sent.back().request->target == "/send/x");
  BOOST_TEST((this->output.sent[0].to == this->output.sent[1].to));
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(1) == 200);
}

BOOST_FIXTURE_TEST_CASE(RecentlyReportedNodeNeedsNoCapacityQuery, Fixture) {
  this->now += 300ms;
  this->SendRequest(1, "/send/x");
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
}

BOOST_FIXTURE_TEST_CASE(IdempotentRequestNeedsNoCapacityQuery, Fixture) {
  this->now += 600ms;
  this->SendRequest(1, "/read/x");
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
}

BOOST_FIXTURE_TEST_CASE(CapacityQueryTimeoutTriesAnotherNode, Fixture) {
  this->now += 600ms;
  this->SendRequest(1, "/send/x");
  const auto unresponsive = this->output.sent.back().to;
  this->now += 300ms;
  this->origin.OnTick(this->now);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST((this->output.sent.back().to != unresponsive));
}

BOOST_FIXTURE_TEST_CASE(AllNodesUnresponsiveReturns503, Fixture) {
  this->now += 600ms;
  this->SendRequest(1, "/send/x");
  for (int round = 0; round < 4; ++round) {
    this->now += 300ms;
    this->origin.OnTick(this->now);
  }
  BOOST_TEST(this->ResponseStatus(1) == 503);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(LostCapacityQueryTriesAnotherNode, Fixture) {
  this->now += 600ms;
  this->SendRequest(1, "/send/x");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*was_sent=*/true);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(this->ResponseStatus(1) == 0);
}

// --- Client accounts. ---

struct AccountsFixture : Fixture {
  AccountsFixture() { this->SetAccounts({"k-acme"}); }

  void SetAccounts(std::vector<std::string> keys_of_acme) {
    auto configuration = std::make_shared<routing::Configuration>();
    configuration->version = ++this->version;
    configuration->routes = {this->RouteTo("read", /*requires_key=*/true),
                             this->RouteTo("open", /*requires_key=*/false)};
    configuration->accounts = {{.name = "acme",
                                .keys = std::move(keys_of_acme),
                                .priority = 1,
                                .requests_per_second = this->limit,
                                .burst = this->limit},
                               {.name = "bolt", .keys = {"k-bolt"}}};
    this->origin.SetConfiguration(configuration, kKeySeed);
  }

  routing::Route RouteTo(const std::string& name, bool requires_key) {
    return {.name = name,
            .host = "desk.example",
            .prefix = "/" + name + "/",
            .kind = routing::RequestKind::kIdempotent,
            .timeout = 1s,
            .target_latency = 800ms,
            .priority = 2,
            .max_endpoints = 2,
            .services = {{"drafts", 1}},
            .requires_key = requires_key};
  }

  void SendWithKeys(decision::CallId call,
                    const std::string& target,
                    const std::vector<std::string>& keys,
                    std::optional<NestedCallParent> parent = std::nullopt) {
    HttpRequest request{.method = "GET", .target = target};
    request.headers = {{"Host", "desk.example"},
                       {"Id", std::to_string(call)},
                       {"Account", "forged"}};
    for (const auto& key : keys) {
      request.headers.push_back({"Key", key});
    }
    this->origin.OnRequest(this->now, call, std::move(request), parent);
  }

  // Names in the account header of the request that was sent last.
  std::vector<std::string> SentAccounts() const {
    std::vector<std::string> names;
    for (const auto& header : this->output.sent.back().request->headers) {
      if (header.name == "Account") {
        names.push_back(header.value);
      }
    }
    return names;
  }

  bool KeyWasSent() const {
    return FindHeader(this->output.sent.back().request->headers, "Key") !=
           nullptr;
  }

  std::uint64_t version = 1;
  double limit = 0;
};

using Names = std::vector<std::string>;

BOOST_FIXTURE_TEST_CASE(BackendServerGetsAccountAndNoKey, AccountsFixture) {
  this->SendWithKeys(1, "/read/1", {"k-acme"});
  BOOST_TEST((this->SentAccounts() == Names{"acme"}));
  BOOST_TEST(!this->KeyWasSent());
  BOOST_TEST(this->output.sent.back().visit.share == "acme");
}

BOOST_FIXTURE_TEST_CASE(UnknownKeyIsRejectedWithoutRunning, AccountsFixture) {
  this->SendWithKeys(1, "/read/1", {});
  this->SendWithKeys(2, "/read/1", {"k-none"});
  this->SendWithKeys(3, "/read/1", {"k-acme", "k-acme"});
  for (const decision::CallId call : {1, 2, 3}) {
    BOOST_TEST(this->ResponseStatus(call) == 401);
    BOOST_TEST((FindHeader(this->output.responses.at(call).headers,
                           "WWW-Authenticate") != nullptr));
    BOOST_TEST(this->output.responses.at(call).body.find("k-") ==
               std::string::npos);
  }
  BOOST_TEST(this->output.sent.empty());
}

BOOST_FIXTURE_TEST_CASE(ExemptRouteNeedsNoKey, AccountsFixture) {
  this->SendWithKeys(1, "/open/1", {});
  BOOST_TEST(this->SentAccounts().empty());
  this->SendWithKeys(2, "/open/1", {"k-none"});
  BOOST_TEST(this->SentAccounts().empty());
  BOOST_TEST(!this->KeyWasSent());
  this->SendWithKeys(3, "/open/1", {"k-bolt"});
  BOOST_TEST((this->SentAccounts() == Names{"bolt"}));
}

BOOST_FIXTURE_TEST_CASE(WithoutAccountsHeadersAreForwarded, AccountsFixture) {
  auto configuration = std::make_shared<routing::Configuration>();
  configuration->routes = {this->RouteTo("read", /*requires_key=*/true)};
  this->origin.SetConfiguration(configuration, kKeySeed);
  this->SendWithKeys(1, "/read/1", {"k-acme"});
  BOOST_TEST((this->SentAccounts() == Names{"forged"}));
  BOOST_TEST(this->KeyWasSent());
}

// A call of a backend server has no key. It belongs to the account of the
// request that made it, at that account's priority.
BOOST_FIXTURE_TEST_CASE(NestedCallInheritsAccount, AccountsFixture) {
  this->SendWithKeys(
      1, "/read/1", {},
      NestedCallParent{.visit = 7, .account_priority = 1, .account = "acme"});
  BOOST_TEST((this->SentAccounts() == Names{"acme"}));
  BOOST_TEST(this->output.sent.back().visit.account_priority == 1);
}

// Failure: a caller whose request id extended the id of a running request of
// another account ran its request for that account, and one with an unknown key
// ran it without any.
BOOST_FIXTURE_TEST_CASE(RequestWithKeyIsNoNestedCall, AccountsFixture) {
  const NestedCallParent parent{.visit = 7, .account = "acme"};
  this->SendWithKeys(1, "/read/1", {"k-bolt"}, parent);
  BOOST_TEST((this->SentAccounts() == Names{"bolt"}));
  BOOST_TEST(this->output.sent.back().visit.share == "bolt");
  BOOST_TEST(!this->output.sent.back().visit.nested);
  this->SendWithKeys(2, "/read/1", {"k-none"}, parent);
  BOOST_TEST(this->ResponseStatus(2) == 401);
  this->SendWithKeys(3, "/open/1", {"k-none"}, parent);
  BOOST_TEST(this->SentAccounts().empty());
  BOOST_TEST(this->output.started_nested_calls == 0);
}

// Failure: a caller without a key sent one request on a route that is exempt
// from keys, and while it ran others that extended its id to any route.
BOOST_FIXTURE_TEST_CASE(CallOfRequestWithoutAccountNeedsExemptRoute,
                        AccountsFixture) {
  const NestedCallParent parent{.visit = 7};
  this->SendWithKeys(1, "/read/1", {}, parent);
  BOOST_TEST(this->ResponseStatus(1) == 401);
  BOOST_TEST(this->output.sent.empty());
  this->SendWithKeys(2, "/open/1", {}, parent);
  BOOST_TEST(this->output.sent.back().visit.nested);
  // Without accounts no request needs a key.
  auto configuration = std::make_shared<routing::Configuration>();
  configuration->routes = {this->RouteTo("read", /*requires_key=*/true)};
  this->origin.SetConfiguration(configuration, kKeySeed);
  this->SendWithKeys(3, "/read/1", {"k-acme"}, parent);
  BOOST_TEST(this->output.sent.back().visit.nested);
}

// An abandoned request need not complete, so that its calls don't run.
BOOST_FIXTURE_TEST_CASE(CallOfAbandonedRequestIsRefusedAsNotRun,
                        AccountsFixture) {
  this->SendWithKeys(
      1, "/read/1", {},
      NestedCallParent{.visit = 7, .account = "acme", .is_abandoned = true});
  BOOST_TEST(this->ResponseStatus(1) == 503);
  BOOST_TEST(this->output.sent.empty());
}

// Failure: a node that was killed and started again rejected the calls of what
// its backend server went on running, as if a caller had sent no key.
BOOST_FIXTURE_TEST_CASE(CallsOfEarlierProcessAreUnavailable, AccountsFixture) {
  CallOrigin restarted({.self = kSelf, .started = this->now}, this->dialect,
                       this->crashes, this->fleet, this->random, this->output);
  auto configuration = std::make_shared<routing::Configuration>();
  configuration->routes = {this->RouteTo("read", /*requires_key=*/true)};
  configuration->accounts = {{.name = "acme", .keys = {"k-acme"}}};
  restarted.SetConfiguration(configuration, kKeySeed);
  decision::CallId call = 0;
  const auto status_of = [&](const char* id, const char* key) {
    HttpRequest request{.method = "GET", .target = "/read/1"};
    request.headers = {{"Host", "desk.example"}, {"Id", id}};
    if (key != nullptr) {
      request.headers.push_back({"Key", key});
    }
    restarted.OnRequest(this->now, ++call, std::move(request), std::nullopt);
    return this->ResponseStatus(call);
  };
  this->now += 900ms;
  BOOST_TEST(status_of("aa.1", nullptr) == 503);
  // These are calls of nobody's request.
  BOOST_TEST(status_of("aa", nullptr) == 401);
  BOOST_TEST(status_of("aa.1", "k-none") == 401);
  // After the timeout of the route, what ran at the start has ended.
  this->now += 100ms;
  BOOST_TEST(status_of("aa.1", nullptr) == 401);
  BOOST_TEST(this->output.sent.empty());
}

BOOST_FIXTURE_TEST_CASE(AccountPriorityPrecedesRoutePriority, AccountsFixture) {
  this->SendWithKeys(1, "/read/1", {"k-acme"});
  const int rank_of_acme = this->output.sent.back().visit.Rank();
  this->SendWithKeys(2, "/read/1", {"k-bolt"});
  const int rank_of_bolt = this->output.sent.back().visit.Rank();
  BOOST_TEST(rank_of_bolt < rank_of_acme);
  // Less important than every request of an account before it.
  BOOST_TEST(rank_of_acme >
             decision::RankOf(0, decision::Importance::kBackground));
}

BOOST_FIXTURE_TEST_CASE(RemovedKeyIsRejectedAndRunningRequestCompletes,
                        AccountsFixture) {
  this->SendWithKeys(1, "/read/1", {"k-acme"});
  this->SetAccounts({"k-new"});
  this->SendWithKeys(2, "/read/1", {"k-acme"});
  BOOST_TEST(this->ResponseStatus(2) == 401);
  this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->ResponseStatus(1) == 200);
  this->SendWithKeys(3, "/read/1", {"k-new"});
  BOOST_TEST((this->SentAccounts() == Names{"acme"}));
}

BOOST_FIXTURE_TEST_CASE(UnconfirmedKeysAreUnavailable, AccountsFixture) {
  this->origin.SetKeysConfirmed(false);
  this->SendWithKeys(1, "/read/1", {"k-acme"});
  this->SendWithKeys(2, "/read/1", {"k-none"});
  BOOST_TEST(this->ResponseStatus(1) == 503);
  BOOST_TEST(this->ResponseStatus(2) == 503);
  this->SendWithKeys(3, "/open/1", {});
  BOOST_TEST(this->output.sent.size() == 1U);
  this->origin.SetKeysConfirmed(true);
  this->SendWithKeys(4, "/read/1", {"k-acme"});
  BOOST_TEST(this->output.sent.size() == 2U);
}

// Failure: a request that crashes backend servers closed the same path of
// another host, or of another account, whose requests are harmless; and their
// completions cleared it, so that it was never stopped.
BOOST_FIXTURE_TEST_CASE(RequestsOfOtherHostsAndAccountsAreOthers,
                        AccountsFixture) {
  auto configuration = std::make_shared<routing::Configuration>();
  configuration->routes = {this->RouteTo("read", /*requires_key=*/true)};
  for (const auto* host : {"other.example", "desk.example.other"}) {
    configuration->routes.push_back(configuration->routes.front());
    configuration->routes.back().host = host;
  }
  configuration->accounts = {{.name = "acme", .keys = {"k-acme", "k-next"}},
                             {.name = "bolt", .keys = {"k-bolt"}}};
  this->origin.SetConfiguration(configuration, kKeySeed);
  decision::CallId call = 0;
  const auto fingerprint_of = [&](const char* host, const char* key,
                                  const char* target = "/read/all",
                                  const char* body = "") {
    HttpRequest request{.method = "GET", .target = target, .body = body};
    request.headers = {
        {"Host", host}, {"Id", std::to_string(++call)}, {"Key", key}};
    this->origin.OnRequest(this->now, call, std::move(request), std::nullopt);
    const auto fingerprint = this->output.sent.back().visit.fingerprint;
    this->DeliverReply(Outcome::kCompleted, Reason::kNone);
    return fingerprint;
  };
  const auto crashing = fingerprint_of("desk.example", "k-acme");
  // The same request, sent again.
  BOOST_TEST(fingerprint_of("Desk.Example:8080", "k-next") == crashing);
  BOOST_TEST(fingerprint_of("other.example", "k-acme") != crashing);
  BOOST_TEST(fingerprint_of("desk.example.other", "k-acme") != crashing);
  BOOST_TEST(fingerprint_of("desk.example", "k-bolt") != crashing);
  BOOST_TEST(fingerprint_of("desk.example", "k-acme", "/read/al", "l") !=
             crashing);
}

struct QuotaFixture : AccountsFixture {
  QuotaFixture() {
    this->limit = 10;
    this->SetAccounts({"k-acme"});
    this->origin.Quotas().SetOptions({.overage = 0, .slack = 0});
    const accounts::AccountQuotas::Coverage one_node{.reporting = 1,
                                                     .listed = 1};
    this->origin.Quotas().Update(this->now, {}, one_node);
    this->now += 10s;
    this->origin.Quotas().Update(this->now, {}, one_node);
    this->RecordMessagesOfAll();
  }

  // Sends requests of the account until one is refused. Returns its call.
  decision::CallId UseUpQuota() {
    decision::CallId call = 100;
    for (; call < 200 && !this->output.responses.contains(call - 1); ++call) {
      this->SendWithKeys(call, "/read/1", {"k-acme"});
    }
    return call - 1;
  }
};

BOOST_FIXTURE_TEST_CASE(RequestBeyondQuotaIsRefusedWithRetryAfter,
                        QuotaFixture) {
  const auto refused = this->UseUpQuota();
  BOOST_TEST(this->ResponseStatus(refused) == 429);
  BOOST_TEST((FindHeader(this->output.responses.at(refused).headers,
                         "Retry-After") != nullptr));
  BOOST_TEST(this->output.sent.size() == refused - 100);
  BOOST_TEST(this->output.sent.size() >= 10U);
  // Other accounts and nested calls go on.
  this->SendWithKeys(300, "/read/1", {"k-bolt"});
  this->SendWithKeys(301, "/read/1", {}, NestedCallParent{.account = "acme"});
  BOOST_TEST(this->output.sent.size() == refused - 100 + 2);
}

BOOST_FIXTURE_TEST_CASE(RequestThatDidNotRunReturnsItsToken, QuotaFixture) {
  this->UseUpQuota();
  this->DeliverReply(Outcome::kNotRun, Reason::kQuarantined);
  this->SendWithKeys(300, "/read/1", {"k-acme"});
  BOOST_TEST(!this->output.responses.contains(300));
  this->SendWithKeys(301, "/read/1", {"k-acme"});
  BOOST_TEST(this->ResponseStatus(301) == 429);
}

// Guards against requests that this node sends to a backend server after it has
// passed on a response in which that server states that it is leaving: its node
// may have restarted and not know.
BOOST_FIXTURE_TEST_CASE(SendsNothingToABackendServerThatStatedItsLeaving,
                        Fixture) {
  this->SendRequest(1, "/read/1");
  const auto leaving = this->output.sent.back().to;
  this->origin.OnReply(this->now,
                       {.attempt = this->output.sent.back().visit.attempt,
                        .outcome = Outcome::kCompleted,
                        .load = this->load},
                       std::make_shared<const HttpResponse>(HttpResponse{
                           .status = 200, .headers = {{"Leaving", "1"}}}));
  BOOST_TEST(this->ResponseStatus(1) == 200);
  for (decision::CallId call = 2; call < 200; ++call) {
    this->RecordMessagesOfAll();
    this->SendRequest(call, "/read/1");
    BOOST_TEST((this->output.sent.back().to != leaving));
    this->DeliverReply(Outcome::kCompleted, Reason::kNone);
  }
}

// Guards against a planned stop that ends with requests in flight and closes
// their connections without an answer.
BOOST_FIXTURE_TEST_CASE(EndOfAPlannedStopAnswersTheRequestsInFlight, Fixture) {
  this->SendRequest(1, "/send/1");
  this->SendRequest(2, "/read/1");
  this->now += 600ms;
  // Nodes that have not reported lately get a capacity query first.
  this->SendRequest(3, "/send/1");
  BOOST_TEST(this->output.sent.back().visit.is_capacity_query);
  this->origin.EndAllCalls(this->now);
  BOOST_TEST(this->ResponseStatus(1) == 504);
  BOOST_TEST(this->ResponseStatus(2) == 504);
  BOOST_TEST(this->ResponseStatus(3) == 503);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::calls
