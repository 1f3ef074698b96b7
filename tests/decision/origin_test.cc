#include "libraries/decision/origin.h"

#include <boost/test/unit_test.hpp>

#include "tests/decision/origin_fixture.h"

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(OriginTest)

constexpr VisitId kParent = {.high = 1, .low = 2};

// The only action of its kind. Fails if there is none or more than one.
template <typename Kind>
Kind Only(const Actions& actions) {
  const auto found = AllOf<Kind>(actions);
  BOOST_REQUIRE_EQUAL(found.size(), 1U);
  return found[0];
}

FakeParents::Visit MakeParent(int retries, Instant deadline) {
  return {.visit = {.importance = Importance::kHigh,
                    .deadline = deadline,
                    .admission_key = 17,
                    .request_id = 42,
                    .share = "billing"},
          .allowance = RetryAllowance({.retries = retries})};
}

// A failure of the first attempt, and the expected next step of the origin.
struct FailureCase {
  const char* name;
  bool idempotent;
  bool bound;  // The caller supplied a binding.
  // If set, the attempt is lost, with this value of AttemptLost::sent.
  // Otherwise it gets a reply with `outcome` and `reason`.
  std::optional<bool> lost_sent;
  Outcome outcome;
  Reason reason;
  // The expected next attempt. If empty, the call is expected to end with
  // `final_outcome` and `final_reason`.
  std::optional<VisitKind> next;
  Outcome final_outcome;
  Reason final_reason;
};

const FailureCase failure_cases[] = {
    {"overloaded",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kOverloaded,
     VisitKind::kRun,
     {},
     {}},
    {"leaving",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kLeaving,
     VisitKind::kRun,
     {},
     {}},
    {"backend down",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kBackendDown,
     VisitKind::kRun,
     {},
     {}},
    {"exhausted",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kExhausted,
     {},
     Outcome::kNotRun,
     Reason::kExhausted},
    {"suspect",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kSuspect,
     {},
     Outcome::kNotRun,
     Reason::kSuspect},
    {"convicted",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kQuarantined,
     {},
     Outcome::kNotRun,
     Reason::kQuarantined},
    {"deadline exceeded",
     true,
     false,
     {},
     Outcome::kNotRun,
     Reason::kDeadlineExceeded,
     {},
     Outcome::kNotRun,
     Reason::kDeadlineExceeded},
    {"backend connection broken",
     true,
     false,
     {},
     Outcome::kUnknown,
     Reason::kBackendFailed,
     {},
     Outcome::kUnknown,
     Reason::kBackendFailed},
    {"never sent", true, false, false, {}, {}, VisitKind::kRun, {}, {}},
    {"lost", true, false, true, {}, {}, VisitKind::kRun, {}, {}},
    {"completion without a response",
     true,
     false,
     {},
     Outcome::kCompleted,
     Reason::kNone,
     {},
     Outcome::kUnknown,
     Reason::kNone},
    {"issue refused",
     false,
     false,
     {},
     Outcome::kNotRun,
     Reason::kLeaving,
     VisitKind::kIssueBinding,
     {},
     {}},
    {"issue lost",
     false,
     false,
     true,
     {},
     {},
     VisitKind::kIssueBinding,
     {},
     {}},
    {"bound, never sent",
     false,
     true,
     false,
     {},
     {},
     {},
     Outcome::kUnknown,
     Reason::kUnreachable},
    {"bound, lost", false, true, true, {}, {}, VisitKind::kRun, {}, {}},
    {"bound, leaving",
     false,
     true,
     {},
     Outcome::kNotRun,
     Reason::kLeaving,
     VisitKind::kIssueBinding,
     {},
     {}},
    {"bound, fenced",
     false,
     true,
     {},
     Outcome::kNotRun,
     Reason::kBindingFenced,
     {},
     Outcome::kNotRun,
     Reason::kBindingFenced},
    {"bound, gate restarted",
     false,
     true,
     {},
     Outcome::kUnknown,
     Reason::kBindingLost,
     {},
     Outcome::kUnknown,
     Reason::kBindingLost},
    {"bound, backend connection broken",
     false,
     true,
     {},
     Outcome::kUnknown,
     Reason::kBackendFailed,
     {},
     Outcome::kUnknown,
     Reason::kBackendFailed},
};

BOOST_AUTO_TEST_CASE(NextStepAfterFailedAttemptMatchesTable) {
  for (const auto& row : failure_cases) {
    BOOST_TEST_CONTEXT(row.name) {
      OriginFixture fixture;
      auto event = fixture.MakeCall(1, row.idempotent);
      if (row.bound) {
        event.binding = Binding{.gate = NodeOf(1), .incarnation = 3};
      }
      const auto first = Only<SendAttempt>(fixture.Arrive(event));
      const auto actions =
          row.lost_sent
              ? fixture.Lose(first.request.attempt, *row.lost_sent)
              : fixture.Reply({.attempt = first.request.attempt,
                               .outcome = row.outcome,
                               .reason = row.reason,
                               .unspent_allowance = first.request.allowance});
      if (row.next) {
        const auto second = Only<SendAttempt>(actions);
        BOOST_TEST((second.request.kind == *row.next));
        const bool same_gate = row.bound && *row.next == VisitKind::kRun;
        BOOST_TEST((second.to == first.to) == same_gate);
      } else {
        const auto response = Only<RespondToCaller>(actions);
        BOOST_TEST((response.outcome == row.final_outcome));
        BOOST_TEST((response.reason == row.final_reason));
        BOOST_TEST(fixture.origin.CallsInFlight() == 0U);
        BOOST_TEST(fixture.peers.At(first.to).in_flight == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(OverloadIsRetriedOnceThenReported) {
  OriginFixture fixture;
  auto sent = Only<SendAttempt>(fixture.Arrive(fixture.MakeCall(1, true)));
  const auto refuse = [&](const SendAttempt& attempt) {
    return fixture.Reply({.attempt = attempt.request.attempt,
                          .outcome = Outcome::kNotRun,
                          .reason = Reason::kOverloaded,
                          .retry_after = 700ms,
                          .unspent_allowance = attempt.request.allowance});
  };
  sent = Only<SendAttempt>(refuse(sent));
  const auto response = Only<RespondToCaller>(refuse(sent));
  BOOST_TEST((response.reason == Reason::kOverloaded));
  BOOST_TEST((response.retry_after == 700ms));
}

BOOST_AUTO_TEST_CASE(LateAndDuplicateRepliesAreIgnored) {
  OriginFixture fixture;
  const auto first =
      Only<SendAttempt>(fixture.Arrive(fixture.MakeCall(1, true)));
  const auto second =
      Only<SendAttempt>(fixture.Lose(first.request.attempt, true));
  const VisitReply late = {.attempt = first.request.attempt,
                           .outcome = Outcome::kCompleted};
  BOOST_TEST(fixture.Reply(late, MakeAnswer("late")).empty());
  const VisitReply good = {.attempt = second.request.attempt,
                           .outcome = Outcome::kCompleted};
  const auto response =
      Only<RespondToCaller>(fixture.Reply(good, MakeAnswer("good")));
  BOOST_TEST(response.answer->body == "good");
  BOOST_TEST(fixture.Reply(good, MakeAnswer("good")).empty());
}

BOOST_AUTO_TEST_CASE(NestedCallInheritsFromItsParent) {
  OriginFixture fixture;
  fixture.parents.Add(kParent, MakeParent(4, fixture.now + 300ms));
  auto event = fixture.MakeCall(1, true);
  event.parent = kParent;
  event.timeout = 500ms;
  const auto request = Only<SendAttempt>(fixture.Arrive(event)).request;
  BOOST_TEST((request.remaining == 300ms));
  BOOST_TEST((request.importance == Importance::kHigh));
  BOOST_TEST(request.admission_key == 17);
  BOOST_TEST(request.request_id == 42U);
  BOOST_TEST(request.share == "billing");
  BOOST_TEST(request.allowance == 1);
  BOOST_TEST(fixture.parents.At(kParent).allowance.Remaining() == 2);
  BOOST_TEST(fixture.parents.At(kParent).nested == 1);
  fixture.Reply({.attempt = request.attempt,
                 .outcome = Outcome::kCompleted,
                 .unspent_allowance = 99},
                MakeAnswer());
  BOOST_TEST(fixture.parents.At(kParent).allowance.Remaining() == 4);
  BOOST_TEST(fixture.parents.At(kParent).nested == 0);
}

BOOST_AUTO_TEST_CASE(CallEndsOnDeadlineDisconnectOrParentEnd) {
  enum class End { kDeadline, kCaller, kParent };
  for (const auto end : {End::kDeadline, End::kCaller, End::kParent}) {
    OriginFixture fixture;
    fixture.parents.Add(kParent, MakeParent(2, fixture.now + 300ms));
    auto event = fixture.MakeCall(1, true);
    event.parent = kParent;
    const auto sent = Only<SendAttempt>(fixture.Arrive(event));
    BOOST_TEST((fixture.origin.NextWake() == fixture.now + 300ms));
    Actions actions;
    if (end == End::kDeadline) {
      fixture.origin.OnTick(fixture.now + 299ms, actions);
      BOOST_TEST(actions.empty());
      fixture.origin.OnTick(fixture.now + 300ms, actions);
    } else if (end == End::kCaller) {
      fixture.origin.OnCallerDisconnected(fixture.now, {.call = 1}, actions);
    } else {
      fixture.parents.Remove(kParent);
      fixture.origin.OnVisitEnded(fixture.now, kParent, actions);
    }
    BOOST_TEST((Only<CancelAttempt>(actions).attempt == sent.request.attempt));
    const auto response = Only<RespondToCaller>(actions);
    BOOST_TEST((response.outcome == Outcome::kUnknown));
    BOOST_TEST(
        (response.reason == (end == End::kDeadline ? Reason::kDeadlineExceeded
                                                   : Reason::kCancelled)));
    BOOST_TEST(!fixture.origin.NextWake().has_value());
  }
}

BOOST_AUTO_TEST_CASE(OutsideWriteReceivesBindingAndRunsUnderIt) {
  OriginFixture fixture;
  const auto issue =
      Only<SendAttempt>(fixture.Arrive(fixture.MakeCall(1, false)));
  const Binding binding = {.gate = issue.to, .incarnation = 3, .sequence = 9};
  const auto response =
      Only<RespondToCaller>(fixture.Reply({.attempt = issue.request.attempt,
                                           .outcome = Outcome::kNotRun,
                                           .reason = Reason::kBindingRequired,
                                           .next_binding = binding}));
  BOOST_TEST((response.outcome == Outcome::kNotRun));
  BOOST_TEST((response.next_binding == binding));
  auto event = fixture.MakeCall(2, false);
  event.binding = response.next_binding;
  const auto run = Only<SendAttempt>(fixture.Arrive(event));
  BOOST_TEST((run.to == binding.gate));
  BOOST_TEST((run.request.binding == binding));
}

BOOST_AUTO_TEST_CASE(MoveLoopEndsAsUnknown) {
  OriginFixture fixture;
  auto event = fixture.MakeCall(1, false);
  event.binding = Binding{.gate = NodeOf(1)};
  auto actions = fixture.Arrive(event);
  int hops = 0;
  for (auto sent = AllOf<SendAttempt>(actions); !sent.empty();
       sent = AllOf<SendAttempt>(actions)) {
    ++hops;
    const Binding next = {.gate = NodeOf(1 + hops % 2)};
    actions = fixture.Reply({.attempt = sent[0].request.attempt,
                             .outcome = Outcome::kNotRun,
                             .moved_to = next});
  }
  BOOST_TEST(hops == 4);
  BOOST_TEST((Only<RespondToCaller>(actions).outcome == Outcome::kUnknown));
}

BOOST_AUTO_TEST_CASE(BindingWithUnknownAddressEndsAsBindingLost) {
  OriginFixture fixture;
  auto event = fixture.MakeCall(1, false);
  event.binding = Binding{.gate = {.ip = 1, .port = 1}};
  const auto response = Only<RespondToCaller>(fixture.Arrive(event));
  BOOST_TEST((response.outcome == Outcome::kUnknown));
  BOOST_TEST((response.reason == Reason::kBindingLost));
}

BOOST_AUTO_TEST_CASE(CallsWithSameKeyInOneVisitRunOnce) {
  OriginFixture fixture;
  fixture.parents.Add(kParent, MakeParent(2, fixture.now + 900ms));
  const auto call = [&](CallId id, std::uint64_t fingerprint) {
    auto event = fixture.MakeCall(id, false);
    event.parent = kParent;
    event.idempotency_key = "invoice-1";
    event.fingerprint = fingerprint;
    return fixture.Arrive(event);
  };
  const auto issue = Only<SendAttempt>(call(1, 5));
  BOOST_TEST(call(2, 5).empty());
  BOOST_TEST((Only<RespondToCaller>(call(3, 6)).reason == Reason::kMalformed));
  const auto run = Only<SendAttempt>(
      fixture.Reply({.attempt = issue.request.attempt,
                     .outcome = Outcome::kNotRun,
                     .reason = Reason::kBindingRequired,
                     .next_binding = Binding{.gate = issue.to}}));
  // The first caller disconnects; the call that joined still gets the response.
  Actions after_disconnect;
  fixture.origin.OnCallerDisconnected(fixture.now, {.call = 1},
                                      after_disconnect);
  BOOST_TEST(AllOf<CancelAttempt>(after_disconnect).empty());
  const auto response = Only<RespondToCaller>(fixture.Reply(
      {.attempt = run.request.attempt, .outcome = Outcome::kCompleted},
      MakeAnswer("paid")));
  BOOST_TEST(response.call == 2U);
  BOOST_TEST(Only<RespondToCaller>(call(4, 5)).answer->body == "paid");
  BOOST_TEST(fixture.parents.At(kParent).nested == 0);
}

BOOST_AUTO_TEST_CASE(UnreachableServiceIsRefusedWithoutAttempt) {
  OriginFixture fixture;
  auto actions = fixture.Arrive(fixture.MakeCall(1, true));
  for (auto sent = AllOf<SendAttempt>(actions); !sent.empty();
       sent = AllOf<SendAttempt>(actions)) {
    actions = fixture.Lose(sent[0].request.attempt, false);
  }
  BOOST_TEST((Only<RespondToCaller>(actions).reason == Reason::kUnreachable));
  actions = fixture.Arrive(fixture.MakeCall(2, true));
  BOOST_TEST(AllOf<SendAttempt>(actions).empty());
  const auto response = Only<RespondToCaller>(actions);
  BOOST_TEST((response.outcome == Outcome::kNotRun));
  BOOST_TEST((response.reason == Reason::kUnreachable));
}

BOOST_AUTO_TEST_CASE(OriginShedsCallThatNestedServiceWouldRefuse) {
  OriginFixture fixture;
  const ServiceThresholds strict = {
      {"ledger", {.cutoff = Importance::kCritical, .keys = 256}}};
  // Several replies are needed, because each reply moves the admission level
  // half of the way.
  for (CallId id = 1; id <= 12; ++id) {
    const auto sent =
        AllOf<SendAttempt>(fixture.Arrive(fixture.MakeCall(id, true)));
    for (const auto& attempt : sent) {
      fixture.Reply({.attempt = attempt.request.attempt,
                     .outcome = Outcome::kCompleted,
                     .thresholds = strict},
                    MakeAnswer());
    }
  }
  const auto response =
      Only<RespondToCaller>(fixture.Arrive(fixture.MakeCall(100, true)));
  BOOST_TEST((response.outcome == Outcome::kNotRun));
  BOOST_TEST((response.reason == Reason::kOverloaded));
  BOOST_TEST((response.retry_after > 0ms));
  // A call with a binding is sent to its gate, because only the gate can
  // rule out that it ran.
  auto bound = fixture.MakeCall(101, false);
  bound.binding = Binding{.gate = NodeOf(1)};
  Only<SendAttempt>(fixture.Arrive(bound));
}

BOOST_AUTO_TEST_CASE(FullTableRefusesCallAsNotRun) {
  OriginFixture fixture({.self = NodeOf(99), .max_calls = 2});
  fixture.Arrive(fixture.MakeCall(1, true));
  fixture.Arrive(fixture.MakeCall(2, true));
  const auto response =
      Only<RespondToCaller>(fixture.Arrive(fixture.MakeCall(3, true)));
  BOOST_TEST((response.outcome == Outcome::kNotRun));
  BOOST_TEST((response.reason == Reason::kLimitReached));
  // The node can't report a call with a binding as not run, because an earlier
  // copy of it may have run.
  auto bound = fixture.MakeCall(4, false);
  bound.binding = Binding{.gate = NodeOf(1)};
  BOOST_TEST((Only<RespondToCaller>(fixture.Arrive(bound)).outcome ==
              Outcome::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
