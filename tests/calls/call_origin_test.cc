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
  void NestedCallEnded(
      VisitNumber parent,
      const std::vector<decision::ServiceCost>& costs) override {
    this->nested_ended.push_back(parent);
    this->nested_costs = costs;
  }
  void RespondToCaller(decision::CallId call,
                    const HttpResponse& response,
                    const HttpRequest& /*request*/,
                    const CallSummary& summary) override {
    BOOST_TEST(!this->answers.contains(call),
               "second response to the same call");
    this->answers[call] = response;
    this->summaries[call] = summary;
  }

  std::deque<Sent> sent;
  std::vector<decision::AttemptId> cancelled;
  std::vector<VisitNumber> nested_ended;
  std::vector<decision::ServiceCost> nested_costs;
  std::map<decision::CallId, HttpResponse> answers;
  std::map<decision::CallId, CallSummary> summaries;
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
    this->origin.SetRoutes(
        std::make_shared<const routing::RouteTable>(configuration));
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
    this->HearAll();
  }

  // Records a message received from each node.
  void HearAll() {
    for (std::uint32_t ip = 1; ip <= 3; ++ip) {
      this->fleet.Received(this->now, {.ip = ip, .port = kPort});
    }
  }

  void Ask(decision::CallId call,
           const std::string& target,
           const std::string& left = "5000",
           std::optional<VisitGate::Parent> parent = std::nullopt) {
    HttpRequest request{.method = "GET", .target = target};
    request.headers = {{"Host", "desk.example"},
                       {"Id", std::to_string(call)},
                       {"Caller", "forged"},
                       {"Expected", "forged"}};
    if (!left.empty()) {
      request.headers.push_back({"Left", left});
    }
    this->origin.OnRequest(this->now, call, std::move(request), parent);
  }

  // Delivers the gate's reply to the attempt that was sent last.
  void Reply(Outcome outcome,
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

  int StatusOf(decision::CallId call) {
    return this->output.answers.contains(call)
               ? this->output.answers.at(call).status
               : 0;
  }

  // Fills the retry budget, so that retries are allowed.
  void EarnRepeats() {
    for (decision::CallId call = 1000; call < 1100; ++call) {
      this->Ask(call, "/read/1");
      this->Reply(Outcome::kCompleted, Reason::kNone);
    }
    this->output.sent.clear();
  }

  Instant now = 100s;
  std::vector<decision::ServiceCost> costs;  // Of each reply.
  decision::LoadReport load{.limit = 18};    // Of each reply.
  Dialect dialect = TestDialect();
  SeededRandom random{9};
  membership::Fleet fleet{
      {.self = kSelf, .node_port = kPort, .failure_domain = "a"}};
  RecordingOutput output;
  retries::CrashHistory crashes;
  CallOrigin origin{{.self = kSelf,
                     .incarnation = 1,
                     .failure_domain = "a",
                     .service = "desk",
                     .repeats = {.ratio = 0.2, .extra = 0, .window = 10s}},
                    this->dialect,
                    this->crashes,
                    this->fleet,
                    this->random,
                    this->output};
};

BOOST_FIXTURE_TEST_CASE(PassesAnAnswerOnAsItIs, Fixture) {
  this->Ask(1, "/read/1");
  this->Reply(Outcome::kCompleted, Reason::kNone, true, 404);
  BOOST_TEST(this->StatusOf(1) == 404);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(SetsItsOwnHeadersWhateverTheCallerSent, Fixture) {
  this->Ask(1, "/read/1");
  const auto& headers = this->output.sent.back().request->headers;
  BOOST_TEST(*FindHeader(headers, "Caller") == "desk");
  BOOST_TEST((FindHeader(headers, "Expected") == nullptr));
  BOOST_TEST((FindHeader(headers, "Left") == nullptr));
  BOOST_TEST(*FindHeader(headers, "Id") == "1");
}

BOOST_FIXTURE_TEST_CASE(GivesTheLesserOfTimeoutAndDeadline, Fixture) {
  this->Ask(1, "/read/1", "5000");
  BOOST_TEST((this->output.sent.back().visit.remaining == 1s));
  this->Ask(2, "/read/1", "300");
  BOOST_TEST((this->output.sent.back().visit.remaining == 300ms));
  this->Ask(3, "/read/1", "");
  BOOST_TEST((this->output.sent.back().visit.remaining == 1s));
}

BOOST_FIXTURE_TEST_CASE(AnswersWithoutARouteOrAnId, Fixture) {
  this->Ask(1, "/unknown/1");
  BOOST_TEST(this->StatusOf(1) == 404);
  this->origin.OnRequest(this->now, 2,
                         {.method = "GET",
                          .target = "/read/1",
                          .headers = {{"Host", "desk.example"}}},
                         std::nullopt);
  BOOST_TEST(this->StatusOf(2) == 400);
}

BOOST_FIXTURE_TEST_CASE(WithoutAConfigurationItSaysToComeBack, Fixture) {
  this->origin.SetRoutes(nullptr);
  this->Ask(1, "/read/1");
  BOOST_TEST(this->StatusOf(1) == 503);
  BOOST_TEST((FindHeader(this->output.answers.at(1).headers, "Retry-After") !=
              nullptr));
}

// A refusal by the gate uses no retry budget, since the request has not reached
// a backend server.
BOOST_FIXTURE_TEST_CASE(GoesElsewhereAfterARefusalThatRanNothing, Fixture) {
  for (const auto reason :
       {Reason::kLeaving, Reason::kBackendDown, Reason::kNoSuchService}) {
    this->output.sent.clear();
    this->Ask(1, "/send/1");
    this->Reply(Outcome::kNotRun, reason);
    BOOST_TEST_REQUIRE(this->output.sent.size() == 2U);
    BOOST_TEST((this->output.sent[0].to != this->output.sent[1].to));
    this->Reply(Outcome::kCompleted, Reason::kNone);
    BOOST_TEST(this->StatusOf(1) == 200);
    this->output.answers.clear();
  }
}

BOOST_FIXTURE_TEST_CASE(SaysNotRunWhenNoEndpointTookIt, Fixture) {
  this->Ask(1, "/send/1");
  for (int node = 0; node < 3; ++node) {
    this->Reply(Outcome::kNotRun, Reason::kBackendDown);
  }
  BOOST_TEST(this->StatusOf(1) == 503);
  BOOST_TEST((FindHeader(this->output.answers.at(1).headers, "Retry-After") !=
              nullptr));
}

BOOST_FIXTURE_TEST_CASE(NeverRepeatsWhatMayHaveRunAndMustRunOnce, Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/send/1");
  this->Reply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->StatusOf(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(RepeatsARepeatableOneWithinBudgetAndEndpoints,
                        Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/read/1");
  this->Reply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 2U);
  // The route allows at most two endpoints.
  this->Reply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(this->StatusOf(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(WithoutBudgetNothingIsRepeated, Fixture) {
  this->Ask(1, "/read/1");
  this->Reply(Outcome::kUnknown, Reason::kBackendFailed, true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->StatusOf(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(ARejectionByTheBackendServerIsNotRun, Fixture) {
  this->Ask(1, "/send/1");
  this->Reply(Outcome::kNotRun, Reason::kBackendRejected, true);
  BOOST_TEST(this->StatusOf(1) == 503);
}

BOOST_FIXTURE_TEST_CASE(AfterAnUnknownEndARefusalPromisesNothing, Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/read/1");
  this->Reply(Outcome::kUnknown, Reason::kBackendFailed, true);
  this->Reply(Outcome::kNotRun, Reason::kBackendDown);
  this->Reply(Outcome::kNotRun, Reason::kBackendDown);
  BOOST_TEST(this->StatusOf(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(AtTheTimeoutTheCallerIsAnsweredAndTheGateTold,
                        Fixture) {
  this->Ask(1, "/read/1");
  BOOST_TEST((this->origin.NextWake() == std::optional(this->now + 1s)));
  this->now += 1s;
  this->origin.OnTick(this->now);
  BOOST_TEST(this->StatusOf(1) == 504);
  BOOST_TEST(this->output.cancelled.size() == 1U);
  // A late reply is ignored.
  this->Reply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->StatusOf(1) == 504);
}

BOOST_FIXTURE_TEST_CASE(ACallerThatLeavesCancelsItsAttempt, Fixture) {
  this->Ask(1, "/read/1");
  this->origin.OnCallerDisconnected(this->now, 1);
  BOOST_TEST(this->output.cancelled.size() == 1U);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AnAttemptThatNeverLeftGoesElsewhere, Fixture) {
  this->Ask(1, "/send/1");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*sent=*/false);
  BOOST_TEST(this->output.sent.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(ALostAttemptOfWhatMustRunOnceStaysUnknown, Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/send/1");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*sent=*/true);
  BOOST_TEST(this->output.sent.size() == 1U);
  BOOST_TEST(this->StatusOf(1) == 502);
}

BOOST_FIXTURE_TEST_CASE(ASilentNodeLosesWhatMayBeRepeated, Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/read/1");
  const auto first = this->output.sent.back().to;
  this->now += 950ms;
  this->Ask(2, "/read/2");
  this->now += 40ms;
  this->origin.OnTick(this->now);
  BOOST_TEST((this->output.sent.back().to != first));
}

BOOST_FIXTURE_TEST_CASE(ANestedCallKeepsTheImportanceOfItsTree, Fixture) {
  this->Ask(1, "/read/1", "5000",
            VisitGate::Parent{.visit = 4,
                              .importance = decision::Importance::kCritical});
  const auto& visit = this->output.sent.back().visit;
  BOOST_TEST(visit.nested);
  BOOST_TEST((visit.importance == decision::Importance::kCritical));
}

BOOST_FIXTURE_TEST_CASE(ALeafThatFailsIsRepeatedElsewhere, Fixture) {
  this->EarnRepeats();
  this->Ask(1, "/read/1");
  this->Reply(Outcome::kCompleted, Reason::kNone, true, 500);
  BOOST_TEST(this->output.sent.size() == 2U);
  this->Reply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->StatusOf(1) == 200);
}

// After a cold start into an overload no request of the route succeeds.
// Admission has to learn the route's cost from the failed requests alone.
BOOST_FIXTURE_TEST_CASE(ARouteThatOnlyFailsIsHeldBackAtTheEntry, Fixture) {
  // 60 slots; 100 requests a second take 200.
  this->load.running = 18;
  this->costs = {{.service = "drafts", .slot_time = 2s}};
  int refused = 0;
  constexpr decision::CallId kCalls = 300;
  for (decision::CallId call = 1; call <= kCalls; ++call) {
    this->now += 10ms;
    this->origin.UpdateAdmission(this->now);
    const auto sent = this->output.sent.size();
    this->Ask(call, "/read/1");
    if (this->output.sent.size() == sent) {
      ++refused;
    } else {
      this->Reply(Outcome::kCompleted, Reason::kNone, true, 500);
    }
  }
  BOOST_TEST(refused > 150);
}

// A nested call that is refused for lack of capacity reports its estimated cost
// to its parent request.
BOOST_FIXTURE_TEST_CASE(ARefusedCallCountsForItsRequest, Fixture) {
  this->costs = {{.service = "drafts", .slot_time = 40ms}};
  this->Ask(1, "/read/1", "5000", VisitGate::Parent{.visit = 7});
  while (this->StatusOf(1) == 0) {
    this->Reply(Outcome::kNotRun, Reason::kOverloaded);
  }
  BOOST_TEST(this->StatusOf(1) == 503);
  // Reported once, though several gates refused the call.
  BOOST_TEST(this->output.nested_ended.size() == 1U);
  BOOST_TEST((this->output.nested_costs.at(0).slot_time == 40ms));
}

// During a planned stop callers get 503 with Retry-After, so that they use
// another host. Requests that run on this host can still make nested calls.
BOOST_FIXTURE_TEST_CASE(WhileStoppingItTakesOnlyCallsOfWhatRunsHere, Fixture) {
  this->origin.StopAcceptingCalls();
  this->Ask(1, "/send/x");
  BOOST_TEST(this->output.answers.at(1).status == 503);
  BOOST_TEST((FindHeader(this->output.answers.at(1).headers, "Retry-After") !=
              nullptr));
  BOOST_TEST(this->output.sent.empty());
  this->Ask(2, "/read/x", "5000", VisitGate::Parent{.visit = 4});
  BOOST_TEST(this->output.sent.size() == 1U);
}

// Guards against a network partition or loss of power that has not been
// detected yet: a non-idempotent request isn't sent to an unreachable node, so
// that the caller learns reliably whether it ran.
BOOST_FIXTURE_TEST_CASE(ANodeNotHeardLatelyIsAskedFirst, Fixture) {
  this->now += 600ms;
  this->Ask(1, "/send/x");
  BOOST_TEST(this->output.sent.back().visit.is_capacity_query);
  BOOST_TEST(this->output.sent.back().request->target.empty());
  this->Reply(Outcome::kNotRun, Reason::kNone);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
  BOOST_TEST(this->output.sent.back().request->target == "/send/x");
  BOOST_TEST((this->output.sent[0].to == this->output.sent[1].to));
  this->Reply(Outcome::kCompleted, Reason::kNone);
  BOOST_TEST(this->StatusOf(1) == 200);
}

BOOST_FIXTURE_TEST_CASE(ANodeHeardJustNowIsNotAskedFirst, Fixture) {
  this->now += 300ms;
  this->Ask(1, "/send/x");
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
}

BOOST_FIXTURE_TEST_CASE(WhatMayBeRepeatedNeedsNoOffer, Fixture) {
  this->now += 600ms;
  this->Ask(1, "/read/x");
  BOOST_TEST(!this->output.sent.back().visit.is_capacity_query);
}

BOOST_FIXTURE_TEST_CASE(AnOfferWithoutAnswerGoesElsewhere, Fixture) {
  this->now += 600ms;
  this->Ask(1, "/send/x");
  const auto silent = this->output.sent.back().to;
  this->now += 300ms;
  this->origin.OnTick(this->now);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST((this->output.sent.back().to != silent));
}

BOOST_FIXTURE_TEST_CASE(WhenAllAreSilentTheCallerIsToldThatItDidNotRun,
                        Fixture) {
  this->now += 600ms;
  this->Ask(1, "/send/x");
  for (int round = 0; round < 4; ++round) {
    this->now += 300ms;
    this->origin.OnTick(this->now);
  }
  BOOST_TEST(this->StatusOf(1) == 503);
  BOOST_TEST(this->origin.CallsInFlight() == 0U);
}

BOOST_FIXTURE_TEST_CASE(AnOfferLostWithItsConnectionDidNotRun, Fixture) {
  this->now += 600ms;
  this->Ask(1, "/send/x");
  this->origin.OnAttemptLost(this->now, this->output.sent.back().visit.attempt,
                             /*sent=*/true);
  BOOST_TEST(this->output.sent.size() == 2U);
  BOOST_TEST(this->StatusOf(1) == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::calls
