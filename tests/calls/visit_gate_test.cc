#include "libraries/calls/visit_gate.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>

#include "tests/calls/test_dialect.h"

namespace agaterun::calls {

BOOST_AUTO_TEST_SUITE(VisitGateTest)

using decision::Importance;
using decision::Outcome;
using decision::Reason;

constexpr NodeAddress kOrigin{.ip = 7, .port = 7300};
constexpr NodeAddress kSelf{.ip = 1, .port = 7300};

class RecordingOutput final : public GateOutput {
 public:
  void StartExchange(VisitNumber visit,
                     const SharedRequest& /*request*/,
                     bool /*idempotent*/,
                     const std::string& instance,
                     Duration remaining) override {
    this->started.push_back(visit);
    this->instance = instance;
    this->remaining = remaining;
  }
  void AbortExchange(VisitNumber visit) override {
    this->aborted.push_back(visit);
  }
  void SendReply(NodeAddress /*to*/,
                 decision::VisitReply reply,
                 decision::Answer answer) override {
    this->replies[reply.attempt.call] = reply;
    this->responses[reply.attempt.call] = std::move(answer);
  }
  void OnOtherInstance() override { ++this->other_instances; }
  void OnBackendNotice(const BackendNotice& notice) override {
    this->notices.push_back(notice);
  }
  void ReportVisit(LogEvent /*event*/,
                   const HttpRequest& /*request*/,
                   Reason /*reason*/,
                   Duration /*elapsed*/) override {}

  std::deque<VisitNumber> started;
  std::vector<VisitNumber> aborted;
  std::map<decision::CallId, decision::VisitReply> replies;
  std::map<decision::CallId, decision::Answer> responses;
  std::string instance;
  Duration remaining{};
  int other_instances = 0;
  std::vector<BackendNotice> notices;
};

struct Fixture {
  Fixture() {
    this->fleet.SetList(this->now, {this->Entry()});
    this->gate.SetEntry(this->now, this->Entry());
  }

  membership::EndpointEntry Entry() const {
    return {.id = "i-1",
            .service = "drafts",
            .address = {.ip = kSelf.ip, .port = 8000},
            .slots = 2,
            .started_at = 5};
  }

  void SubmitVisit(decision::CallId call,
                   Importance importance = Importance::kNormal,
                   bool idempotent = true,
                   const std::string& id = "") {
    auto request = std::make_shared<HttpRequest>();
    request->method = "GET";
    request->headers.push_back({"Id", id.empty() ? std::to_string(call) : id});
    this->gate.OnVisit(this->now, kOrigin,
                       {.attempt = {.origin = kOrigin, .call = call},
                        .service = "drafts",
                        .remaining = 1s,
                        .importance = importance,
                        .idempotent = idempotent,
                        .max_wait = 100ms},
                       request);
  }

  // Ends the exchange that was started first.
  void EndOldestExchange(ExchangeResult end,
                         decision::Answer answer = nullptr) {
    const auto visit = this->output.started.front();
    this->output.started.pop_front();
    this->gate.OnExchangeEnded(this->now, visit, end, std::move(answer));
  }

  static decision::Answer MakeResponse(
      int status,
      std::initializer_list<const char*> headers) {
    auto answer = std::make_shared<HttpResponse>();
    answer->status = status;
    for (const auto* header : headers) {
      answer->headers.push_back({header, "1"});
    }
    return answer;
  }

  std::optional<NestedCallParent> FindParent(const std::string& id) const {
    return this->gate.FindParent(this->now, id);
  }

  Reason ReplyReason(decision::CallId call) {
    return this->output.replies.at(call).reason;
  }

  Instant now = 100s;
  Dialect dialect = TestDialect();
  RecordingOutput output;
  retries::CrashHistory crashes{kSelf};
  membership::Fleet fleet{
      {.self = kSelf, .node_port = kSelf.port, .backend_port = 8000}};
  VisitGate gate{{.service = "drafts"},
                 this->dialect,
                 this->crashes,
                 this->fleet,
                 this->output};
};

BOOST_FIXTURE_TEST_CASE(RunsNoMoreVisitsThanSlots, Fixture) {
  // The entry has two slots. The gate keeps one of them free, since backend
  // servers may slow down when they are nearly full.
  this->SubmitVisit(1);
  this->SubmitVisit(2);
  BOOST_TEST(this->output.started.size() == 1U);
  this->now += 20ms;
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST(this->output.started.size() == 1U);
  BOOST_TEST((this->output.replies.at(1).outcome == Outcome::kCompleted));
  BOOST_TEST(this->output.instance == "i-1");
}

BOOST_FIXTURE_TEST_CASE(RefusesVisitWithTooLongExpectedWait, Fixture) {
  this->SubmitVisit(1);
  this->now += 300ms;
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  this->SubmitVisit(2);
  this->SubmitVisit(3);
  BOOST_TEST((this->ReplyReason(3) == Reason::kOverloaded));
  BOOST_TEST((this->output.replies.at(3).outcome == Outcome::kNotRun));
  // The estimated cost, for the parent request.
  BOOST_TEST_REQUIRE(this->output.replies.at(3).costs.size() == 1U);
  BOOST_TEST((this->output.replies.at(3).costs[0].slot_time == 300ms));
  BOOST_TEST(!this->output.replies.at(3).offered);
  BOOST_TEST((this->output.replies.at(3).retry_after > 0ms));
}

BOOST_FIXTURE_TEST_CASE(RefusesQueuedVisitAfterMaxWait, Fixture) {
  this->SubmitVisit(1);
  this->SubmitVisit(2);
  this->now += 150ms;
  this->gate.OnTick(this->now);
  BOOST_TEST((this->ReplyReason(2) == Reason::kOverloaded));
}

BOOST_FIXTURE_TEST_CASE(QueuedVisitsRunByImportance, Fixture) {
  this->SubmitVisit(1);
  this->SubmitVisit(2, Importance::kNormal);
  this->SubmitVisit(3, Importance::kCritical);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST(this->output.replies.contains(3));
  BOOST_TEST(!this->output.replies.contains(2));
}

// Outcome of the request for each way an exchange can end.
BOOST_FIXTURE_TEST_CASE(ExchangeEndDeterminesOutcome, Fixture) {
  struct Row {
    ExchangeResult end;
    decision::Answer answer;
    Outcome outcome;
    bool offered;
  };
  const Row rows[] = {
      {ExchangeResult::kResponded, MakeResponse(200, {"Stamp"}),
       Outcome::kCompleted, true},
      {ExchangeResult::kResponded, MakeResponse(500, {"Stamp"}),
       Outcome::kCompleted, true},
      {ExchangeResult::kResponded, MakeResponse(503, {"Not-Run"}),
       Outcome::kNotRun, true},
      {ExchangeResult::kResponded, MakeResponse(421, {"Instance"}),
       Outcome::kNotRun, true},
      {ExchangeResult::kResponded, MakeResponse(200, {}), Outcome::kUnknown,
       true},
      {ExchangeResult::kResponded, MakeResponse(503, {}), Outcome::kUnknown,
       true},
      {ExchangeResult::kResponded,
       MakeResponse(200, {"Stamp", "Content-Encoding"}), Outcome::kUnknown,
       true},
      {ExchangeResult::kNotSent, nullptr, Outcome::kNotRun, false},
      {ExchangeResult::kBroken, nullptr, Outcome::kUnknown, true},
      {ExchangeResult::kGivenUp, nullptr, Outcome::kUnknown, true},
  };
  decision::CallId call = 1;
  for (const auto& row : rows) {
    this->gate.SetEntry(this->now, this->Entry());
    this->SubmitVisit(call);
    this->EndOldestExchange(row.end, row.answer);
    const auto& reply = this->output.replies.at(call);
    BOOST_TEST((reply.outcome == row.outcome), "row " << call);
    BOOST_TEST(reply.offered == row.offered, "row " << call);
    ++call;
  }
  BOOST_TEST(this->output.other_instances == 1);
}

// Failure: requests whose responses break off are suspected of a crash that
// follows. A response that found no memory says nothing of the kind.
BOOST_FIXTURE_TEST_CASE(ResponseGivenUpMakesNoSuspect, Fixture) {
  this->SubmitVisit(1);
  this->EndOldestExchange(ExchangeResult::kGivenUp, nullptr);
  BOOST_TEST((this->ReplyReason(1) == Reason::kLimitReached));
  BOOST_TEST(this->crashes.RecordLocalCrash(this->now, 1).empty());
  this->now += 1s;
  this->SubmitVisit(2);
  this->EndOldestExchange(ExchangeResult::kBroken, nullptr);
  BOOST_TEST((this->ReplyReason(2) == Reason::kBackendFailed));
  BOOST_TEST(this->crashes.RecordLocalCrash(this->now, 2).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(OtherInstanceAtAddressClosesGate, Fixture) {
  this->SubmitVisit(1);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(421, {"Instance"}));
  this->SubmitVisit(2);
  BOOST_TEST((this->ReplyReason(2) == Reason::kBackendDown));
  BOOST_TEST(!this->gate.Load(this->now).backend_up);
}

// When all hosts restart together, a request may be in flight under the old
// entry when the new entry arrives. A 421 response for the old entry must not
// invalidate the new one.
BOOST_FIXTURE_TEST_CASE(LateRejectionOfOldEntryKeepsNewEntry, Fixture) {
  this->SubmitVisit(1);
  auto replacement = this->Entry();
  replacement.id = "i-2";
  replacement.started_at = 9;
  this->gate.SetEntry(this->now, replacement);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(421, {"Instance"}));
  BOOST_TEST((this->output.replies.at(1).outcome == Outcome::kNotRun));
  BOOST_TEST(this->output.other_instances == 0);
  BOOST_TEST(this->gate.Load(this->now).backend_up);
  this->SubmitVisit(2);
  BOOST_TEST(this->output.started.size() == 1U);
  BOOST_TEST(this->output.instance == "i-2");
}

BOOST_FIXTURE_TEST_CASE(GatewayTimeoutIsNotCountedAsFailure, Fixture) {
  for (decision::CallId call = 1; call <= 20; ++call) {
    this->SubmitVisit(call);
    this->EndOldestExchange(ExchangeResult::kResponded,
                            MakeResponse(504, {"Stamp"}));
  }
  BOOST_TEST(this->gate.Load(this->now).failure_share == 0);
  this->SubmitVisit(21);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(500, {"Stamp"}));
  BOOST_TEST(this->gate.Load(this->now).failure_share > 0);
}

// Otherwise a backend server that was slow or failing once gets no requests
// that could show its recovery.
BOOST_FIXTURE_TEST_CASE(MeasurementsExpireWithoutResults, Fixture) {
  this->SubmitVisit(1);
  this->now += 700ms;
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(500, {"Stamp"}));
  BOOST_TEST((this->gate.Load(this->now).service_time == 700ms));
  const double failing = this->gate.Load(this->now).failure_share;
  this->now += 1s;
  BOOST_TEST(this->gate.Load(this->now).failure_share < 0.51 * failing);
  this->now += 1s;
  BOOST_TEST((this->gate.Load(this->now).service_time == 0ms));
}

BOOST_FIXTURE_TEST_CASE(QuarantinedFingerprintIsRefused, Fixture) {
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    // The fingerprint of each request here is 0.
    this->SubmitVisit(crash);
    this->EndOldestExchange(ExchangeResult::kBroken);
    this->crashes.RecordLocalCrash(this->now, crash);
    this->now += 1s;
  }
  this->SubmitVisit(9);
  BOOST_TEST((this->ReplyReason(9) == Reason::kQuarantined));
  BOOST_TEST((this->output.replies.at(9).outcome == Outcome::kNotRun));
}

// Failure: a harmless request that was in flight at three crashes at the same
// moment was never run again, so that nothing could clear it.
BOOST_FIXTURE_TEST_CASE(QuarantinedRequestRunsAloneOnTrial, Fixture) {
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    this->SubmitVisit(crash);
    this->EndOldestExchange(ExchangeResult::kBroken);
    this->crashes.RecordLocalCrash(this->now, crash);
    this->now += 1s;
  }
  this->now += 3s;
  this->SubmitVisit(10);
  BOOST_TEST(this->output.started.size() == 1U);
  this->SubmitVisit(11);
  BOOST_TEST((this->ReplyReason(11) == Reason::kQuarantined));
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST((this->output.replies.at(10).outcome == Outcome::kCompleted));
  this->SubmitVisit(12);
  BOOST_TEST(this->output.started.size() == 1U);
}

// Failure: a request that had been running at three endpoints which were lost
// for good was refused by those that were left.
BOOST_FIXTURE_TEST_CASE(EndpointThatDidNotCrashTriesQuarantinedRequest,
                        Fixture) {
  for (std::uint64_t id = 1; id <= 3; ++id) {
    this->crashes.RecordReportedCrash(this->now, kOrigin,
                                      {.id = id, .fingerprints = {0}});
  }
  this->SubmitVisit(1);
  BOOST_TEST((this->ReplyReason(1) == Reason::kQuarantined));
  this->now += 3s;
  this->SubmitVisit(2);
  BOOST_TEST(this->output.started.size() == 1U);
}

// Failure: under load, a rejection by a full backend server cleared a request
// that crashes the servers that run it.
BOOST_FIXTURE_TEST_CASE(ResponseThatCompletesNothingClearsNoSuspect, Fixture) {
  const decision::Answer responses[] = {
      MakeResponse(503, {"Not-Run"}), MakeResponse(421, {"Instance"}),
      MakeResponse(500, {"Stamp"}), MakeResponse(200, {})};
  decision::CallId call = 1;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    for (const auto& response : responses) {
      this->gate.SetEntry(this->now, this->Entry());
      this->SubmitVisit(call++);
      this->EndOldestExchange(ExchangeResult::kResponded, response);
    }
    this->gate.SetEntry(this->now, this->Entry());
    this->SubmitVisit(call++);
    this->EndOldestExchange(ExchangeResult::kBroken);
    this->crashes.RecordLocalCrash(this->now, crash);
    this->now += 1s;
  }
  this->SubmitVisit(100);
  BOOST_TEST((this->ReplyReason(100) == Reason::kQuarantined));
}

// The opposite: the trial of a request that crashes backend servers is its
// last.
BOOST_FIXTURE_TEST_CASE(RequestThatCrashesItsTrialIsRefused, Fixture) {
  for (std::uint64_t crash = 1; crash <= 4; ++crash) {
    this->SubmitVisit(crash);
    BOOST_TEST_REQUIRE(this->output.started.size() == 1U);
    this->EndOldestExchange(ExchangeResult::kBroken);
    this->crashes.RecordLocalCrash(this->now, crash);
    this->now += 3s;
  }
  this->SubmitVisit(10);
  BOOST_TEST((this->ReplyReason(10) == Reason::kQuarantined));
}

BOOST_FIXTURE_TEST_CASE(LeavingBackendServerGetsNoNewVisits, Fixture) {
  this->SubmitVisit(1);
  this->SubmitVisit(2);
  auto entry = this->Entry();
  entry.leaving = true;
  this->gate.SetEntry(this->now, entry);
  BOOST_TEST((this->ReplyReason(2) == Reason::kLeaving));
  this->SubmitVisit(3);
  BOOST_TEST((this->ReplyReason(3) == Reason::kLeaving));
  // The running request completes.
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST((this->output.replies.at(1).outcome == Outcome::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(UnlistedBackendServerGetsNoVisits, Fixture) {
  this->gate.SetEntry(this->now, std::nullopt);
  this->SubmitVisit(1);
  BOOST_TEST((this->ReplyReason(1) == Reason::kBackendDown));
}

BOOST_FIXTURE_TEST_CASE(VisitForAnotherServiceIsRefused, Fixture) {
  this->gate.SetService("vault");
  this->SubmitVisit(1);
  BOOST_TEST((this->ReplyReason(1) == Reason::kNoSuchService));
  BOOST_TEST(this->output.started.empty());
}

BOOST_FIXTURE_TEST_CASE(CancellingIdempotentVisitFreesSlot, Fixture) {
  this->SubmitVisit(1);
  this->SubmitVisit(2);
  this->gate.OnCancelled(this->now, {.origin = kOrigin, .call = 1});
  BOOST_TEST(this->output.aborted.size() == 1U);
  BOOST_TEST(this->output.started.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(CancelledNonIdempotentVisitCompletes, Fixture) {
  this->SubmitVisit(1, Importance::kCritical, /*idempotent=*/false);
  this->gate.OnCancelled(this->now, {.origin = kOrigin, .call = 1});
  BOOST_TEST(this->output.aborted.empty());
  BOOST_TEST(this->gate.Load(this->now).running == 1U);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST(this->gate.Load(this->now).running == 0U);
}

BOOST_FIXTURE_TEST_CASE(CancelledQueuedVisitDoesNotRun, Fixture) {
  this->SubmitVisit(1);
  this->SubmitVisit(2);
  this->gate.OnCancelled(this->now, {.origin = kOrigin, .call = 2});
  BOOST_TEST((this->output.replies.at(2).outcome == Outcome::kNotRun));
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST(this->output.started.empty());
}

BOOST_FIXTURE_TEST_CASE(OverdueExchangeIsAborted, Fixture) {
  this->SubmitVisit(1);
  this->now += 1200ms;
  this->gate.OnTick(this->now);
  BOOST_TEST(this->output.aborted.size() == 1U);
  BOOST_TEST((this->output.replies.at(1).outcome == Outcome::kUnknown));
}

BOOST_FIXTURE_TEST_CASE(FindsParentOfNestedCall, Fixture) {
  this->SubmitVisit(1, Importance::kCritical, true, "aa.bb");
  BOOST_TEST(!this->FindParent("aa.bb").has_value());
  BOOST_TEST(!this->FindParent("cc").has_value());
  BOOST_TEST(!this->FindParent("aa.cc.dd").has_value());
  const auto parent = this->FindParent("aa.bb.cc");
  BOOST_TEST_REQUIRE(parent.has_value());
  BOOST_TEST((parent->importance == Importance::kCritical));
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  BOOST_TEST(!this->FindParent("aa.bb.cc").has_value());
}

BOOST_FIXTURE_TEST_CASE(ReplyContainsCostsOfNestedCalls, Fixture) {
  this->SubmitVisit(1, Importance::kNormal, true, "aa");
  const auto parent = this->FindParent("aa.bb");
  this->gate.AddCosts(parent->visit, {{"ledger", 40ms}});
  this->gate.AddCosts(parent->visit, {{"ledger", 50ms}, {"vault", 200ms}});
  this->now += 300ms;
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  std::map<std::string, Duration> costs;
  for (const auto& cost : this->output.replies.at(1).costs) {
    costs[cost.service] = cost.slot_time;
  }
  BOOST_TEST(costs.size() == 3U);
  BOOST_TEST((costs["ledger"] == 90ms));
  BOOST_TEST((costs["vault"] == 200ms));
  BOOST_TEST((costs["drafts"] == 300ms));
}

// A capacity query gets an immediate reply and runs nothing, whether slots are
// free or not.
BOOST_FIXTURE_TEST_CASE(CapacityQueryGetsReplyWithoutRunning, Fixture) {
  const auto send_query = [&](decision::CallId call, const char* service) {
    this->gate.OnVisit(this->now, kOrigin,
                       {.attempt = {.origin = kOrigin, .call = call},
                        .service = service,
                        .remaining = 1s,
                        .is_capacity_query = true},
                       std::make_shared<HttpRequest>());
  };
  send_query(1, "drafts");
  BOOST_TEST((this->output.replies.at(1).outcome == Outcome::kNotRun));
  BOOST_TEST((this->ReplyReason(1) == Reason::kNone));
  send_query(2, "ledger");
  BOOST_TEST((this->ReplyReason(2) == Reason::kNoSuchService));
  this->gate.StartLeaving(this->now);
  send_query(3, "drafts");
  BOOST_TEST((this->ReplyReason(3) == Reason::kLeaving));
  BOOST_TEST(this->output.started.empty());
  BOOST_TEST(this->gate.VisitsInFlight() == 0U);
}

// A caller without a key gains nothing by an id that looks like a nested call:
// only the ids of requests that were sent to the backend server of this host
// have a parent, and these were authenticated.
BOOST_FIXTURE_TEST_CASE(OnlyRunningRequestIsParentOfNestedCall, Fixture) {
  this->SubmitVisit(1, Importance::kNormal, true, "aa");
  BOOST_TEST(!this->FindParent("aa.1")->is_abandoned);
  for (const auto* forged :
       {"", ".", "aa", "a.1", "aa.1.2", "bb.1", ".aa", "aa,1", "AA.1"}) {
    BOOST_TEST(!this->FindParent(forged).has_value(), forged);
  }
  this->gate.OnCancelled(this->now, {.origin = kOrigin, .call = 1});
  // Nobody waits for what it calls.
  BOOST_TEST(this->FindParent("aa.1")->is_abandoned);
  this->now += 1s;
  BOOST_TEST(!this->FindParent("aa.1").has_value());
}

// Failure: the connection to a backend server that goes on with its request was
// reset, and the calls of the accepted request were rejected for want of a key.
BOOST_FIXTURE_TEST_CASE(CallsOfRequestWithLostConnectionHaveParent, Fixture) {
  for (const bool idempotent : {false, true}) {
    BOOST_TEST_CONTEXT("idempotent " << idempotent) {
      const decision::CallId call = idempotent ? 1 : 2;
      const std::string id = idempotent ? "aa" : "bb";
      this->SubmitVisit(call, Importance::kCritical, idempotent, id);
      this->EndOldestExchange(ExchangeResult::kBroken);
      const auto parent = this->FindParent(id + ".1");
      BOOST_TEST_REQUIRE(parent.has_value());
      BOOST_TEST((parent->importance == Importance::kCritical));
      // An idempotent request may have been sent to another endpoint since.
      BOOST_TEST(parent->is_abandoned == idempotent);
    }
  }
  this->now += 1s;
  BOOST_TEST(!this->FindParent("bb.1").has_value());
}

// A request that is complete, or has not run, makes no calls.
BOOST_FIXTURE_TEST_CASE(EndedRequestIsNoParent, Fixture) {
  this->SubmitVisit(1, Importance::kNormal, false, "aa");
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(200, {"Stamp"}));
  this->SubmitVisit(2, Importance::kNormal, false, "bb");
  this->EndOldestExchange(ExchangeResult::kNotSent);
  this->SubmitVisit(3, Importance::kNormal, false, "cc");
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(503, {"Stamp", "Not-Run"}));
  for (const auto* call : {"aa.1", "bb.1", "cc.1"}) {
    BOOST_TEST(!this->FindParent(call).has_value(), call);
  }
}

// Backend servers that state what they accept.

struct NoticeFixture : Fixture {
  NoticeFixture() {
    auto entry = this->Entry();
    entry.slots = 100;
    this->gate.SetEntry(this->now, entry);
  }

  static decision::Answer Response(HttpHeaders headers) {
    headers.push_back({"Stamp", "1"});
    return std::make_shared<const HttpResponse>(
        HttpResponse{.status = 200, .headers = std::move(headers)});
  }

  // Submits a visit each 5 ms, from one of several origins, and ends each
  // exchange that has started. Returns the number of started exchanges.
  std::size_t Run(Duration time, const HttpHeaders& headers) {
    std::size_t count = 0;
    for (const auto end = this->now + time; this->now < end; this->now += 5ms) {
      this->gate.OnTick(this->now);
      this->SubmitVisit(this->next_call++);
      while (!this->output.started.empty()) {
        ++count;
        this->EndOldestExchange(ExchangeResult::kResponded, Response(headers));
      }
    }
    return count;
  }

  decision::CallId next_call = 1;
};

// Guards against a backend server that gets several times the rate that it
// states in its responses.
BOOST_FIXTURE_TEST_CASE(StatedRateLimitsWhatTheBackendServerGets,
                        NoticeFixture) {
  BOOST_TEST(this->Run(4s, {}) > 700U);
  this->Run(1s, {{"Rate", "6"}});
  constexpr std::size_t kMaxRequests = 41;  // 1.5 * 6 per second * 4 s + 5.
  const auto limited = this->Run(4s, {{"Rate", "6"}});
  BOOST_TEST(limited <= kMaxRequests);
  BOOST_TEST(limited >= 24U);
  BOOST_TEST(*this->gate.Notice().rate_limit == 6);
  this->Run(1s, {});
  BOOST_TEST(this->Run(1s, {}) > 150U);
}

// Guards against refusals that name no cause or no time to come back.
BOOST_FIXTURE_TEST_CASE(VisitsBeyondTheStatedRateAreRefusedAsNotRun,
                        NoticeFixture) {
  this->Run(1s, {{"Rate", "2"}});
  while (this->Run(5ms, {{"Rate", "2"}}) == 0) {
  }
  const auto call = this->next_call;
  this->Run(5ms, {{"Rate", "2"}});
  const auto& reply = this->output.replies.at(call);
  BOOST_TEST((reply.outcome == Outcome::kNotRun));
  BOOST_TEST((reply.reason == Reason::kOverloaded));
  BOOST_TEST((reply.retry_after > 100ms));
}

// The load report has no field for a rate, so that nodes of earlier builds
// understand it: the limit shows as fewer slots.
BOOST_FIXTURE_TEST_CASE(StatedRateShowsAsFewerSlots, NoticeFixture) {
  BOOST_TEST(this->gate.Load(this->now).limit == 95U);
  this->Run(2s, {{"Rate", "6"}});
  const auto load = this->gate.Load(this->now);
  BOOST_TEST(load.limit == 1U);
  BOOST_TEST(load.running == 1U);
}

BOOST_FIXTURE_TEST_CASE(InvalidRateLeavesTheOneBeforeInForce, NoticeFixture) {
  this->Run(1s, {{"Rate", "6"}});
  this->Run(1s, {{"Rate", "many"}});
  BOOST_TEST(*this->gate.Notice().rate_limit == 6);
  BOOST_TEST(this->gate.Notice().has_invalid_rate_limit);
  BOOST_TEST(this->Run(4s, {{"Rate", "many"}}) <= 41U);
}

// An entry that is removed from the list for a moment and returns is the same
// incarnation.
BOOST_FIXTURE_TEST_CASE(StatedRateOutlastsAMissingEntry, NoticeFixture) {
  this->Run(1s, {{"Rate", "6"}});
  auto entry = *this->gate.Entry();
  this->gate.SetEntry(this->now, std::nullopt);
  this->gate.SetEntry(this->now, entry);
  BOOST_TEST(this->Run(4s, {{"Rate", "6"}}) <= 41U);
  entry.started_at += 1;
  this->gate.SetEntry(this->now, entry);
  BOOST_TEST(!this->gate.Notice().rate_limit.has_value());
}

// Guards against a backend server that starts beside a running gate and gets no
// more than the first requests until it has responded: no earlier process can
// have received a limit from it.
BOOST_FIXTURE_TEST_CASE(LaterIncarnationStartsWithoutLimit, NoticeFixture) {
  this->Run(1s, {{"Rate", "6"}});
  auto next = *this->gate.Entry();
  next.started_at += 1;
  this->gate.SetEntry(this->now, next);
  for (decision::CallId call = 500; call < 520; ++call) {
    this->SubmitVisit(call);
  }
  BOOST_TEST(this->output.started.size() == 20U);
}

// Guards against a restarted gate that waits for a response which never comes:
// the backend server is full and rejects what it gets at first.
BOOST_FIXTURE_TEST_CASE(RejectionsCountAsResponses, NoticeFixture) {
  for (decision::CallId call = 500; call < 503; ++call) {
    this->SubmitVisit(call);
    this->EndOldestExchange(ExchangeResult::kResponded,
                            MakeResponse(503, {"Not-Run"}));
  }
  BOOST_TEST(this->Run(1s, {}) > 150U);
}

BOOST_FIXTURE_TEST_CASE(RejectionsStateARateAndDoNotEndOne, NoticeFixture) {
  this->SubmitVisit(500);
  auto rejection =
      std::make_shared<HttpResponse>(*MakeResponse(503, {"Not-Run"}));
  rejection->headers.push_back({"Rate", "6"});
  this->EndOldestExchange(ExchangeResult::kResponded, rejection);
  BOOST_TEST(*this->gate.Notice().rate_limit == 6);
  this->now += 1s;
  this->SubmitVisit(501);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          MakeResponse(503, {"Not-Run"}));
  BOOST_TEST(*this->gate.Notice().rate_limit == 6);
  BOOST_TEST(this->Run(4s, {{"Rate", "6"}}) <= 41U);
}

// Guards against requests for a backend server that has stated in a response
// that it is leaving, while the platform's list calls it ready.
BOOST_FIXTURE_TEST_CASE(StatedLeavingClosesTheGate, NoticeFixture) {
  this->Run(20ms, {});
  this->SubmitVisit(500);
  this->SubmitVisit(501);
  this->Run(5ms, {{"Leaving", "1"}});
  // A response that was made before may arrive later.
  this->SubmitVisit(502);
  BOOST_TEST((this->ReplyReason(502) == Reason::kLeaving));
  BOOST_TEST(this->output.started.empty());
  BOOST_TEST(this->gate.Load(this->now).leaving);
  // The list is read again and is still old.
  this->gate.SetEntry(this->now, *this->gate.Entry());
  this->SubmitVisit(503);
  BOOST_TEST((this->ReplyReason(503) == Reason::kLeaving));
  // The next incarnation may have the same id.
  auto next = *this->gate.Entry();
  next.started_at += 1;
  this->gate.SetEntry(this->now, next);
  this->SubmitVisit(504);
  BOOST_TEST(this->output.started.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ResponseOfEarlierIncarnationClosesNothing,
                        NoticeFixture) {
  this->SubmitVisit(500);
  auto next = *this->gate.Entry();
  next.id = "i-2";
  this->gate.SetEntry(this->now, next);
  this->EndOldestExchange(ExchangeResult::kResponded,
                          Response({{"Leaving", "1"}, {"Rate", "1"}}));
  BOOST_TEST(!this->gate.Load(this->now).leaving);
  BOOST_TEST(!this->gate.Notice().rate_limit.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::calls
