#include "libraries/decision/gate.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/decision/gate_harness.h"

namespace agaterun::decision {

namespace {

bool HasResult(const std::optional<VisitReply>& reply,
               Outcome outcome,
               Reason reason) {
  return reply && reply->outcome == outcome && reply->reason == reason;
}

AttemptId ArriveWithImportance(GateHarness& harness, Importance importance) {
  auto request = harness.Request();
  request.importance = importance;
  return harness.Arrive(request);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(GateTest)

BOOST_AUTO_TEST_CASE(MostImportantRequestStartsFirst) {
  GateHarness harness({.slots = 1});
  const auto first = ArriveWithImportance(harness, Importance::kNormal);
  const auto low = ArriveWithImportance(harness, Importance::kBackground);
  const auto critical = ArriveWithImportance(harness, Importance::kCritical);
  BOOST_TEST(harness.FindStartedVisit(first).has_value());
  BOOST_TEST(!harness.FindStartedVisit(critical).has_value());
  harness.Answer(*harness.FindStartedVisit(first));
  BOOST_TEST(harness.FindStartedVisit(critical).has_value());
  BOOST_TEST(!harness.FindStartedVisit(low).has_value());
}

BOOST_AUTO_TEST_CASE(FullQueueDisplacesLessImportantRequest) {
  GateHarness harness({.slots = 1, .queue_time = 10ms});
  harness.Answer(*harness.FindStartedVisit(
      ArriveWithImportance(harness, Importance::kNormal)));
  // A request that takes 10 ms, the whole queue time, reduces the queue to its
  // minimum length.
  const auto timed_request = ArriveWithImportance(harness, Importance::kNormal);
  harness.AdvanceTo(10ms);
  harness.Answer(*harness.FindStartedVisit(timed_request));
  ArriveWithImportance(harness, Importance::kNormal);
  std::vector<AttemptId> low;
  while (harness.gate.Load().queued < 4) {
    low.push_back(ArriveWithImportance(harness, Importance::kBackground));
  }
  const auto critical = ArriveWithImportance(harness, Importance::kCritical);
  BOOST_TEST(!harness.FindReply(critical).has_value());
  BOOST_TEST(HasResult(harness.FindReply(low[0]), Outcome::kNotRun,
                       Reason::kOverloaded));
}

BOOST_AUTO_TEST_CASE(ExpiredRequestIsNotStarted) {
  GateHarness harness({.slots = 1, .queue_time = 1s});
  const auto running = ArriveWithImportance(harness, Importance::kNormal);
  auto request = harness.Request();
  request.remaining = 50ms;
  const auto waiting = harness.Arrive(request);
  harness.AdvanceTo(60ms);
  harness.Answer(*harness.FindStartedVisit(running));
  BOOST_TEST(!harness.FindStartedVisit(waiting).has_value());
  BOOST_TEST(HasResult(harness.FindReply(waiting), Outcome::kNotRun,
                       Reason::kDeadlineExceeded));
}

BOOST_AUTO_TEST_CASE(RequestThatCannotMeetDeadlineIsRefused) {
  for (const bool checks : {true, false}) {
    GateHarness harness(
        {.slots = 1,
         .disabled = checks ? MechanismSet{}
                            : MechanismSet{Mechanism::kDeadlineCheck}});
    const auto slow = ArriveWithImportance(harness, Importance::kNormal);
    harness.AdvanceTo(500ms);
    harness.Answer(*harness.FindStartedVisit(slow));
    auto request = harness.Request();
    request.remaining = 100ms;
    const auto late_request = harness.Arrive(request);
    BOOST_TEST(harness.FindStartedVisit(late_request).has_value() == !checks);
  }
}

BOOST_AUTO_TEST_CASE(OverdueVisitIsAbortedOnlyIfIdempotent) {
  GateHarness harness;
  const auto binding = harness.IssueBinding();
  auto read = harness.Request();
  read.remaining = 100ms;
  auto write = harness.MakeBoundRequest(binding);
  write.remaining = 100ms;
  harness.Arrive(read);
  harness.Arrive(write);
  harness.AdvanceTo(100ms);
  BOOST_TEST(harness.CountAborts() == 1);
  BOOST_TEST(HasResult(harness.FindReply(read.attempt), Outcome::kUnknown,
                       Reason::kDeadlineExceeded));
  BOOST_TEST(HasResult(harness.FindReply(write.attempt), Outcome::kUnknown,
                       Reason::kDeadlineExceeded));
  BOOST_TEST(harness.gate.VisitsInFlight() == 1U);
  // A backend server that never responds must not occupy its slot forever.
  harness.AdvanceTo(20s);
  BOOST_TEST(harness.gate.VisitsInFlight() == 0U);
  BOOST_TEST(harness.CountAborts() == 2);
}

BOOST_AUTO_TEST_CASE(OwnTimeExcludesNestedCalls) {
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

BOOST_AUTO_TEST_CASE(ReplyCarriesUnspentAllowanceAndPathThresholds) {
  GateHarness harness;
  const auto attempt = ArriveWithImportance(harness, Importance::kNormal);
  const auto visit = *harness.FindStartedVisit(attempt);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 2);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 1);
  BOOST_TEST(harness.gate.LendAllowance(visit, 5) == 0);
  const AdmissionThreshold strict{.cutoff = Importance::kHigh, .keys = 10};
  harness.gate.NestedCallEnded(1ms, visit, 1, {{"ledger", {}}});
  harness.gate.NestedCallEnded(2ms, visit, 0, {{"ledger", strict}});
  // A peer that returns more retries than it was lent must not increase the
  // allowance.
  harness.gate.NestedCallEnded(3ms, visit, 100, {});
  harness.Answer(visit);
  const auto reply = *harness.FindReply(attempt);
  BOOST_TEST(reply.unspent_allowance == 3);
  BOOST_TEST(reply.thresholds.size() == 2U);
  BOOST_TEST((reply.thresholds[0].first == "ledger"));
  BOOST_TEST((reply.thresholds[0].second == strict));
}

BOOST_AUTO_TEST_CASE(CancellationDependsOnPhaseAndIdempotence) {
  GateHarness harness({.slots = 2});
  const auto binding = harness.IssueBinding();
  const auto read = ArriveWithImportance(harness, Importance::kNormal);
  const auto write = harness.Arrive(harness.MakeBoundRequest(binding));
  const auto queued = ArriveWithImportance(harness, Importance::kNormal);
  harness.Cancel(queued);
  BOOST_TEST(HasResult(harness.FindReply(queued), Outcome::kNotRun,
                       Reason::kCancelled));
  harness.Cancel(read);
  BOOST_TEST(harness.CountAborts() == 1);
  harness.Cancel(write);
  BOOST_TEST(harness.CountAborts() == 1);
  // The response is kept for a caller that queries the binding.
  harness.Answer(*harness.FindStartedVisit(write));
  BOOST_TEST(
      (harness.SendBindingRequest(VisitKind::kQueryBinding, binding).outcome ==
       Outcome::kCompleted));
}

BOOST_AUTO_TEST_CASE(LeavingGateRefusesNewAndFinishesAcceptedRequests) {
  GateHarness harness({.slots = 1});
  const auto running = ArriveWithImportance(harness, Importance::kNormal);
  const auto queued = ArriveWithImportance(harness, Importance::kNormal);
  harness.gate.StartLeaving(harness.now, harness.actions);
  const auto late = ArriveWithImportance(harness, Importance::kCritical);
  BOOST_TEST(
      HasResult(harness.FindReply(late), Outcome::kNotRun, Reason::kLeaving));
  harness.Answer(*harness.FindStartedVisit(running));
  harness.Answer(*harness.FindStartedVisit(queued));
  BOOST_TEST(harness.gate.VisitsInFlight() == 0U);
  BOOST_TEST(harness.gate.Load().leaving);
}

BOOST_AUTO_TEST_CASE(QueuedRequestIsNotRunWhenBackendServerIsDown) {
  GateHarness harness({.slots = 1});
  ArriveWithImportance(harness, Importance::kNormal);
  const auto queued = ArriveWithImportance(harness, Importance::kNormal);
  harness.gate.OnBackendReachable(harness.now, {.reachable = false},
                                  harness.actions);
  BOOST_TEST(HasResult(harness.FindReply(queued), Outcome::kNotRun,
                       Reason::kBackendDown));
  const auto next = ArriveWithImportance(harness, Importance::kNormal);
  BOOST_TEST(HasResult(harness.FindReply(next), Outcome::kNotRun,
                       Reason::kBackendDown));
}

BOOST_AUTO_TEST_CASE(UnsentRequestIsNotRunAndBrokenRequestIsUnknown) {
  GateHarness harness;
  const auto unsent = ArriveWithImportance(harness, Importance::kNormal);
  const auto broken = ArriveWithImportance(harness, Importance::kNormal);
  harness.FailBackend(*harness.FindStartedVisit(unsent),
                      BackendFailure::kNotSent);
  harness.FailBackend(*harness.FindStartedVisit(broken),
                      BackendFailure::kBroken);
  BOOST_TEST(HasResult(harness.FindReply(unsent), Outcome::kNotRun,
                       Reason::kBackendDown));
  BOOST_TEST(HasResult(harness.FindReply(broken), Outcome::kUnknown,
                       Reason::kBackendFailed));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
