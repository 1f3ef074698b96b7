#include "libraries/decision/gate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/gate_harness.h"

namespace agaterun::decision {

namespace {

bool Is(const std::optional<VisitReply>& reply,
        Outcome outcome,
        Reason reason) {
  return reply && reply->outcome == outcome && reply->reason == reason;
}

AttemptId ArriveWith(GateHarness& harness, Importance importance) {
  auto request = harness.Request();
  request.importance = importance;
  return harness.Arrive(request);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(GateTest)

BOOST_AUTO_TEST_CASE(StartsMostImportantFirst) {
  GateHarness harness({.slots = 1});
  const auto first = ArriveWith(harness, Importance::kNormal);
  const auto low = ArriveWith(harness, Importance::kBackground);
  const auto critical = ArriveWith(harness, Importance::kCritical);
  BOOST_TEST(harness.Started(first).has_value());
  BOOST_TEST(!harness.Started(critical).has_value());
  harness.Answer(*harness.Started(first));
  BOOST_TEST(harness.Started(critical).has_value());
  BOOST_TEST(!harness.Started(low).has_value());
}

BOOST_AUTO_TEST_CASE(DisplacesLessImportantWorkFromFullQueue) {
  GateHarness harness({.slots = 1, .queue_time = 10ms});
  harness.Answer(*harness.Started(ArriveWith(harness, Importance::kNormal)));
  // One request of 10 ms makes the queue as short as it gets.
  const auto timed = ArriveWith(harness, Importance::kNormal);
  harness.RunTo(10ms);
  harness.Answer(*harness.Started(timed));
  ArriveWith(harness, Importance::kNormal);
  std::vector<AttemptId> low;
  while (harness.gate.Load().queued < 4) {
    low.push_back(ArriveWith(harness, Importance::kBackground));
  }
  const auto critical = ArriveWith(harness, Importance::kCritical);
  BOOST_TEST(!harness.ReplyTo(critical).has_value());
  BOOST_TEST(
      Is(harness.ReplyTo(low[0]), Outcome::kNotRun, Reason::kOverloaded));
}

BOOST_AUTO_TEST_CASE(NeverStartsExpiredWork) {
  GateHarness harness({.slots = 1, .queue_time = 1s});
  const auto running = ArriveWith(harness, Importance::kNormal);
  auto request = harness.Request();
  request.remaining = 50ms;
  const auto waiting = harness.Arrive(request);
  harness.RunTo(60ms);
  harness.Answer(*harness.Started(running));
  BOOST_TEST(!harness.Started(waiting).has_value());
  BOOST_TEST(Is(harness.ReplyTo(waiting), Outcome::kNotRun,
                Reason::kDeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(RefusesWorkThatCannotMeetItsDeadline) {
  for (const bool checks : {true, false}) {
    GateHarness harness(
        {.slots = 1,
         .disabled = checks ? MechanismSet{}
                            : MechanismSet{Mechanism::kDeadlineCheck}});
    const auto slow = ArriveWith(harness, Importance::kNormal);
    harness.RunTo(500ms);
    harness.Answer(*harness.Started(slow));
    auto request = harness.Request();
    request.remaining = 100ms;
    const auto hopeless = harness.Arrive(request);
    BOOST_TEST(harness.Started(hopeless).has_value() == !checks);
  }
}

BOOST_AUTO_TEST_CASE(EndsOverdueWorkByIdempotence) {
  GateHarness harness;
  const auto binding = harness.Issue();
  auto read = harness.Request();
  read.remaining = 100ms;
  auto write = harness.Bound(binding);
  write.remaining = 100ms;
  harness.Arrive(read);
  harness.Arrive(write);
  harness.RunTo(100ms);
  BOOST_TEST(harness.Aborts() == 1);
  BOOST_TEST(Is(harness.ReplyTo(read.attempt), Outcome::kUnknown,
                Reason::kDeadlineExceeded));
  BOOST_TEST(Is(harness.ReplyTo(write.attempt), Outcome::kUnknown,
                Reason::kDeadlineExceeded));
  BOOST_TEST(harness.gate.VisitsInFlight() == 1U);
  // A backend server that never answers does not keep its slot for ever.
  harness.RunTo(20s);
  BOOST_TEST(harness.gate.VisitsInFlight() == 0U);
  BOOST_TEST(harness.Aborts() == 2);
}

BOOST_AUTO_TEST_CASE(CountsNestedCallsOutOfOwnTime) {
  OwnTime time;
  time.Start(0ms);
  time.NestedCallStarted(10ms);
  time.NestedCallStarted(20ms);
  time.NestedCallEnded(30ms);
  BOOST_TEST((time.Own(35ms) == 10ms));
  time.NestedCallEnded(40ms);
  BOOST_TEST((time.Own(50ms) == 20ms));
  BOOST_TEST((time.Total(50ms) == 50ms));
}

BOOST_AUTO_TEST_CASE(ReturnsUnspentAllowanceAndThresholdsOfThePath) {
  GateHarness harness;
  const auto attempt = ArriveWith(harness, Importance::kNormal);
  const auto visit = *harness.Started(attempt);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 2);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 1);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 0);
  const AdmissionThreshold strict{.cutoff = Importance::kHigh, .keys = 10};
  harness.gate.NestedCallEnded(1ms, visit, 1, {{"ledger", {}}});
  harness.gate.NestedCallEnded(2ms, visit, 0, {{"ledger", strict}});
  // A peer that returns more than it was lent can't add retries.
  harness.gate.NestedCallEnded(3ms, visit, 100, {});
  harness.Answer(visit);
  const auto reply = *harness.ReplyTo(attempt);
  BOOST_TEST(reply.unspent_allowance == 3);
  BOOST_TEST(reply.thresholds.size() == 2U);
  BOOST_TEST((reply.thresholds[0].first == "ledger"));
  BOOST_TEST((reply.thresholds[0].second == strict));
}

BOOST_AUTO_TEST_CASE(CancelsByPhaseAndIdempotence) {
  GateHarness harness({.slots = 2});
  const auto binding = harness.Issue();
  const auto read = ArriveWith(harness, Importance::kNormal);
  const auto write = harness.Arrive(harness.Bound(binding));
  const auto queued = ArriveWith(harness, Importance::kNormal);
  harness.Cancel(queued);
  BOOST_TEST(Is(harness.ReplyTo(queued), Outcome::kNotRun, Reason::kCancelled));
  harness.Cancel(read);
  BOOST_TEST(harness.Aborts() == 1);
  harness.Cancel(write);
  BOOST_TEST(harness.Aborts() == 1);
  // The answer is kept for whoever asks again.
  harness.Answer(*harness.Started(write));
  BOOST_TEST((harness.Ask(VisitKind::kQueryBinding, binding).outcome ==
              Outcome::kCompleted));
}

BOOST_AUTO_TEST_CASE(RefusesNewWorkWhileLeavingAndFinishesTheRest) {
  GateHarness harness({.slots = 1});
  const auto running = ArriveWith(harness, Importance::kNormal);
  const auto queued = ArriveWith(harness, Importance::kNormal);
  harness.gate.StartLeaving(harness.now, harness.actions);
  const auto late = ArriveWith(harness, Importance::kCritical);
  BOOST_TEST(Is(harness.ReplyTo(late), Outcome::kNotRun, Reason::kLeaving));
  harness.Answer(*harness.Started(running));
  harness.Answer(*harness.Started(queued));
  BOOST_TEST(harness.gate.VisitsInFlight() == 0U);
  BOOST_TEST(harness.gate.Load().leaving);
}

BOOST_AUTO_TEST_CASE(SendsQueuedWorkElsewhereWhenTheBackendServerIsGone) {
  GateHarness harness({.slots = 1});
  ArriveWith(harness, Importance::kNormal);
  const auto queued = ArriveWith(harness, Importance::kNormal);
  harness.gate.OnBackendReachable(harness.now, {.reachable = false},
                                  harness.actions);
  BOOST_TEST(
      Is(harness.ReplyTo(queued), Outcome::kNotRun, Reason::kBackendDown));
  const auto next = ArriveWith(harness, Importance::kNormal);
  BOOST_TEST(Is(harness.ReplyTo(next), Outcome::kNotRun, Reason::kBackendDown));
}

BOOST_AUTO_TEST_CASE(AnswersUnsentRequestsAsNotRunAndBrokenOnesAsUnknown) {
  GateHarness harness;
  const auto unsent = ArriveWith(harness, Importance::kNormal);
  const auto broken = ArriveWith(harness, Importance::kNormal);
  harness.Fail(*harness.Started(unsent), BackendFailure::kNotSent);
  harness.Fail(*harness.Started(broken), BackendFailure::kBroken);
  BOOST_TEST(
      Is(harness.ReplyTo(unsent), Outcome::kNotRun, Reason::kBackendDown));
  BOOST_TEST(
      Is(harness.ReplyTo(broken), Outcome::kUnknown, Reason::kBackendFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
