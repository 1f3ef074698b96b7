#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "libraries/decision/binding_table.h"
#include "tests/decision/gate_harness.h"

namespace agaterun::decision {

namespace {

// Brings a binding into a state by way of the gate, and returns it.
struct Prepared {
  GateHarness harness{{.slots = 1}};
  Binding binding;
  AttemptId attempt;
};

void Prepare(Prepared& prepared, BindingState state) {
  auto& harness = prepared.harness;
  prepared.binding = harness.Issue();
  const auto request = harness.Bound(prepared.binding);
  prepared.attempt = request.attempt;
  switch (state) {
    case BindingState::kOpen:
      return;
    case BindingState::kActive:
      harness.Arrive(request);
      return;
    case BindingState::kFinished:
      harness.Arrive(request);
      harness.Answer(*harness.Started(request.attempt));
      return;
    case BindingState::kRefused:
      harness.Arrive(request);
      harness.Fail(*harness.Started(request.attempt), BackendFailure::kNotSent);
      return;
    case BindingState::kFenced:
      harness.Ask(VisitKind::kQueryBinding, prepared.binding);
      return;
    case BindingState::kMoved:
      harness.Arrive(request);
      harness.Fail(*harness.Started(request.attempt), BackendFailure::kNotSent);
      harness.Ask(VisitKind::kMoveBinding, prepared.binding,
                  Binding{.sequence = 99}, request.attempt);
      return;
    case BindingState::kLost:
      harness.Arrive(request);
      harness.Fail(*harness.Started(request.attempt), BackendFailure::kBroken);
      return;
    case BindingState::kNeverIssued:
      prepared.binding.sequence += 1;
      return;
    case BindingState::kElsewhere:
      prepared.binding.incarnation += 1;
      return;
  }
}

struct Row {
  BindingState state;
  VisitKind kind;
  Outcome outcome;
  Reason reason;
  bool moved = false;
  bool started = false;
};

using enum BindingState;
using enum Outcome;

// Another call's kRun, kQueryBinding and kMoveBinding in each state. A run of
// an open binding waits for its answer, and so does one that joins.
constexpr Row kRows[] = {
    {kOpen, VisitKind::kRun, kCompleted, Reason::kNone, false, true},
    {kActive, VisitKind::kRun, kCompleted, Reason::kNone},
    {kFinished, VisitKind::kRun, kCompleted, Reason::kNone},
    {kRefused, VisitKind::kRun, kNotRun, Reason::kBindingFenced},
    {kFenced, VisitKind::kRun, kNotRun, Reason::kBindingFenced},
    {kMoved, VisitKind::kRun, kNotRun, Reason::kNone, true},
    {kLost, VisitKind::kRun, kUnknown, Reason::kBindingLost},
    {kNeverIssued, VisitKind::kRun, kNotRun, Reason::kMalformed},
    {kElsewhere, VisitKind::kRun, kUnknown, Reason::kBindingLost},
    {kOpen, VisitKind::kQueryBinding, kNotRun, Reason::kBindingFenced},
    {kActive, VisitKind::kQueryBinding, kUnknown, Reason::kInProgress},
    {kFinished, VisitKind::kQueryBinding, kCompleted, Reason::kNone},
    {kRefused, VisitKind::kQueryBinding, kNotRun, Reason::kBindingFenced},
    {kFenced, VisitKind::kQueryBinding, kNotRun, Reason::kBindingFenced},
    {kMoved, VisitKind::kQueryBinding, kNotRun, Reason::kNone, true},
    {kLost, VisitKind::kQueryBinding, kUnknown, Reason::kBindingLost},
    {kNeverIssued, VisitKind::kQueryBinding, kNotRun, Reason::kMalformed},
    {kElsewhere, VisitKind::kQueryBinding, kUnknown, Reason::kBindingLost},
    {kOpen, VisitKind::kMoveBinding, kNotRun, Reason::kBindingFenced},
    {kActive, VisitKind::kMoveBinding, kUnknown, Reason::kInProgress},
    {kFinished, VisitKind::kMoveBinding, kCompleted, Reason::kNone},
    {kRefused, VisitKind::kMoveBinding, kNotRun, Reason::kBindingFenced},
    {kFenced, VisitKind::kMoveBinding, kNotRun, Reason::kBindingFenced},
    {kMoved, VisitKind::kMoveBinding, kNotRun, Reason::kNone, true},
    {kLost, VisitKind::kMoveBinding, kUnknown, Reason::kBindingLost},
    {kNeverIssued, VisitKind::kMoveBinding, kNotRun, Reason::kMalformed},
    {kElsewhere, VisitKind::kMoveBinding, kUnknown, Reason::kBindingLost},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(GateBindingsTest)

BOOST_AUTO_TEST_CASE(AnswersEachKindInEachState) {
  for (std::size_t index = 0; index < std::size(kRows); ++index) {
    BOOST_TEST_CONTEXT("row " << index) {
      const auto& row = kRows[index];
      Prepared prepared;
      Prepare(prepared, row.state);
      auto& harness = prepared.harness;
      auto request = harness.Bound(prepared.binding);
      request.kind = row.kind;
      request.moved_to = Binding{.sequence = 77};
      harness.Arrive(request);
      if (const auto visit = harness.Started(prepared.attempt);
          visit && row.outcome == kCompleted) {
        harness.Answer(*visit);
      }
      BOOST_TEST(harness.Started(request.attempt).has_value() == row.started);
      if (row.started) {
        harness.Answer(*harness.Started(request.attempt));
      }
      const auto reply = harness.ReplyTo(request.attempt);
      BOOST_REQUIRE(reply.has_value());
      BOOST_TEST((reply->outcome == row.outcome));
      BOOST_TEST((reply->reason == row.reason));
      BOOST_TEST(reply->moved_to.has_value() == row.moved);
    }
  }
}

BOOST_AUTO_TEST_CASE(AsksForABindingWhenOneIsMissing) {
  GateHarness harness;
  auto request = harness.Request();
  request.idempotent = false;
  harness.Arrive(request);
  const auto reply = *harness.ReplyTo(request.attempt);
  BOOST_TEST((reply.reason == Reason::kBindingRequired));
  BOOST_TEST(reply.next_binding.has_value());
  // The gate's own ticket counts too, if the origin knows an older one.
  auto skewed = harness.Request();
  skewed.route = "write";
  harness.Arrive(skewed);
  BOOST_TEST(
      (harness.ReplyTo(skewed.attempt)->reason == Reason::kBindingRequired));
}

BOOST_AUTO_TEST_CASE(RefusesAnotherRequestUnderTheSameBinding) {
  GateHarness harness;
  const auto binding = harness.Issue();
  harness.Arrive(harness.Bound(binding, 1));
  const auto other = harness.Arrive(harness.Bound(binding, 2));
  BOOST_TEST((harness.ReplyTo(other)->reason == Reason::kMalformed));
}

BOOST_AUTO_TEST_CASE(LetsOnlyTheRefusedCallMoveABinding) {
  Prepared prepared;
  Prepare(prepared, BindingState::kRefused);
  const Binding target{.sequence = 99};
  const auto move = [&](const AttemptId& attempt) {
    return prepared.harness.Ask(VisitKind::kMoveBinding, prepared.binding,
                                target, attempt);
  };
  auto again = prepared.attempt;
  again.number = 2;
  BOOST_TEST((move(again).moved_to == target));
  // Another call that has met the fence has told its caller "not run".
  Prepared fenced;
  Prepare(fenced, BindingState::kRefused);
  fenced.harness.Arrive(fenced.harness.Bound(fenced.binding));
  const auto reply = fenced.harness.Ask(VisitKind::kMoveBinding, fenced.binding,
                                        target, fenced.attempt);
  BOOST_TEST((reply.reason == Reason::kBindingFenced));
  BOOST_TEST(!reply.moved_to.has_value());
}

BOOST_AUTO_TEST_CASE(LetsNoneMoveABindingWhoseRefusalSeveralWereTold) {
  GateHarness harness({.slots = 1, .queue_time = 50ms});
  harness.Arrive(harness.Request());
  const auto binding = harness.Issue();
  auto request = harness.Bound(binding);
  request.importance = Importance::kBackground;
  const auto first = harness.Arrive(request);
  const auto joined = harness.Arrive(harness.Bound(binding));
  harness.RunTo(60ms);
  BOOST_TEST((harness.ReplyTo(first)->outcome == Outcome::kNotRun));
  BOOST_TEST((harness.ReplyTo(joined)->outcome == Outcome::kNotRun));
  const auto reply = harness.Ask(VisitKind::kMoveBinding, binding,
                                 Binding{.sequence = 99}, first);
  BOOST_TEST(!reply.moved_to.has_value());
}

BOOST_AUTO_TEST_CASE(ExpiresBindingsOnItsOwnClock) {
  GateHarness harness;
  const auto early = harness.Issue();
  harness.RunTo(200s);
  const auto late = harness.Issue();
  harness.RunTo(BindingTable::kLifetime + 2s);
  harness.Issue();
  BOOST_TEST((harness.Ask(VisitKind::kQueryBinding, early).reason ==
              Reason::kBindingLost));
  BOOST_TEST((harness.Ask(VisitKind::kQueryBinding, late).reason ==
              Reason::kBindingFenced));
}

BOOST_AUTO_TEST_CASE(StaysWithinItsBounds) {
  SeededRandom random(1);
  BindingTable table({.self = kGateAddress,
                      .incarnation = 1,
                      .window = 64,
                      .records = 8,
                      .response_bytes = 1000},
                     random);
  std::vector<Binding> finished;
  const auto answer = std::make_shared<HttpResponse>(
      HttpResponse{.body = std::string(300, 'x')});
  for (int index = 0; index < 100; ++index) {
    const auto refused = table.Issue(0s);
    table.Refuse(refused, {});
    finished.push_back(table.Issue(0s));
    table.Activate(finished.back(), 1, VisitId{.low = 1});
    table.Finish(finished.back(), answer);
    BOOST_TEST(table.StateCount() <= 64U);
    BOOST_TEST(table.RecordCount() <= 9U);
    BOOST_TEST(table.AnswerBytes() <= 1000U);
  }
  BOOST_TEST((table.Find(0s, finished.back()).state == kFinished));
  BOOST_TEST((table.Find(0s, finished[90]).state == kLost));
  BOOST_TEST((table.Find(0s, finished[1]).state == kLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
