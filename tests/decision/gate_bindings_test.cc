#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "libraries/decision/binding_table.h"
#include "tests/decision/gate_harness.h"

namespace agaterun::decision {

namespace {

// A binding that Prepare has brought into a given state by sending events to
// the gate.
struct PreparedBinding {
  GateHarness harness{{.slots = 1}};
  Binding binding;
  AttemptId attempt;
};

void Prepare(PreparedBinding& prepared_binding, BindingState state) {
  auto& harness = prepared_binding.harness;
  prepared_binding.binding = harness.IssueBinding();
  const auto request = harness.MakeBoundRequest(prepared_binding.binding);
  prepared_binding.attempt = request.attempt;
  switch (state) {
    case BindingState::kOpen:
      return;
    case BindingState::kActive:
      harness.Arrive(request);
      return;
    case BindingState::kFinished:
      harness.Arrive(request);
      harness.Answer(*harness.FindStartedVisit(request.attempt));
      return;
    case BindingState::kRefused:
      harness.Arrive(request);
      harness.FailBackend(*harness.FindStartedVisit(request.attempt),
                          BackendFailure::kNotSent);
      return;
    case BindingState::kFenced:
      harness.SendBindingRequest(VisitKind::kQueryBinding,
                                 prepared_binding.binding);
      return;
    case BindingState::kMoved:
      harness.Arrive(request);
      harness.FailBackend(*harness.FindStartedVisit(request.attempt),
                          BackendFailure::kNotSent);
      harness.SendBindingRequest(VisitKind::kMoveBinding,
                                 prepared_binding.binding,
                                 Binding{.sequence = 99}, request.attempt);
      return;
    case BindingState::kLost:
      harness.Arrive(request);
      harness.FailBackend(*harness.FindStartedVisit(request.attempt),
                          BackendFailure::kBroken);
      return;
    case BindingState::kNeverIssued:
      prepared_binding.binding.sequence += 1;
      return;
    case BindingState::kElsewhere:
      prepared_binding.binding.incarnation += 1;
      return;
  }
}

struct ResponseRow {
  BindingState state;
  VisitKind kind;
  Outcome outcome;
  Reason reason;
  bool moved = false;
  bool started = false;
};

using enum BindingState;
using enum Outcome;

// The reply to another call's kRun, kQueryBinding and kMoveBinding in each
// state of the binding. A run under an open binding, and one that joins an
// active binding, gets its reply when the backend server responds.
constexpr ResponseRow kResponseRows[] = {
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

BOOST_AUTO_TEST_CASE(RepliesToEachVisitKindInEachBindingState) {
  for (std::size_t index = 0; index < std::size(kResponseRows); ++index) {
    BOOST_TEST_CONTEXT("row " << index) {
      const auto& row = kResponseRows[index];
      PreparedBinding prepared_binding;
      Prepare(prepared_binding, row.state);
      auto& harness = prepared_binding.harness;
      auto request = harness.MakeBoundRequest(prepared_binding.binding);
      request.kind = row.kind;
      request.moved_to = Binding{.sequence = 77};
      harness.Arrive(request);
      if (const auto visit = harness.FindStartedVisit(prepared_binding.attempt);
          visit && row.outcome == kCompleted) {
        harness.Answer(*visit);
      }
      BOOST_TEST(harness.FindStartedVisit(request.attempt).has_value() ==
                 row.started);
      if (row.started) {
        harness.Answer(*harness.FindStartedVisit(request.attempt));
      }
      const auto reply = harness.FindReply(request.attempt);
      BOOST_REQUIRE(reply.has_value());
      BOOST_TEST((reply->outcome == row.outcome));
      BOOST_TEST((reply->reason == row.reason));
      BOOST_TEST(reply->moved_to.has_value() == row.moved);
    }
  }
}

BOOST_AUTO_TEST_CASE(NonIdempotentRequestWithoutBindingGetsBindingRequired) {
  GateHarness harness;
  auto request = harness.Request();
  request.idempotent = false;
  harness.Arrive(request);
  const auto reply = *harness.FindReply(request.attempt);
  BOOST_TEST((reply.reason == Reason::kBindingRequired));
  BOOST_TEST(reply.next_binding.has_value());
  // The gate's own ticket also applies, in case the origin still has an older
  // one.
  auto newer_ticket_request = harness.Request();
  newer_ticket_request.route = "write";
  harness.Arrive(newer_ticket_request);
  BOOST_TEST((harness.FindReply(newer_ticket_request.attempt)->reason ==
              Reason::kBindingRequired));
}

BOOST_AUTO_TEST_CASE(DifferentRequestUnderSameBindingIsMalformed) {
  GateHarness harness;
  const auto binding = harness.IssueBinding();
  harness.Arrive(harness.MakeBoundRequest(binding, 1));
  const auto other = harness.Arrive(harness.MakeBoundRequest(binding, 2));
  BOOST_TEST((harness.FindReply(other)->reason == Reason::kMalformed));
}

BOOST_AUTO_TEST_CASE(OnlyRefusedCallMayMoveBinding) {
  PreparedBinding prepared_binding;
  Prepare(prepared_binding, BindingState::kRefused);
  const Binding target{.sequence = 99};
  const auto move = [&](const AttemptId& attempt) {
    return prepared_binding.harness.SendBindingRequest(
        VisitKind::kMoveBinding, prepared_binding.binding, target, attempt);
  };
  auto second_attempt = prepared_binding.attempt;
  second_attempt.number = 2;
  BOOST_TEST((move(second_attempt).moved_to == target));
  // After another call has received "not run" for the binding, the refused call
  // can no longer move it.
  PreparedBinding fenced;
  Prepare(fenced, BindingState::kRefused);
  fenced.harness.Arrive(fenced.harness.MakeBoundRequest(fenced.binding));
  const auto reply = fenced.harness.SendBindingRequest(
      VisitKind::kMoveBinding, fenced.binding, target, fenced.attempt);
  BOOST_TEST((reply.reason == Reason::kBindingFenced));
  BOOST_TEST(!reply.moved_to.has_value());
}

BOOST_AUTO_TEST_CASE(BindingRefusedToSeveralCallsCannotMove) {
  GateHarness harness({.slots = 1, .queue_time = 50ms});
  harness.Arrive(harness.Request());
  const auto binding = harness.IssueBinding();
  auto request = harness.MakeBoundRequest(binding);
  request.importance = Importance::kBackground;
  const auto first = harness.Arrive(request);
  const auto joined = harness.Arrive(harness.MakeBoundRequest(binding));
  harness.AdvanceTo(60ms);
  BOOST_TEST((harness.FindReply(first)->outcome == Outcome::kNotRun));
  BOOST_TEST((harness.FindReply(joined)->outcome == Outcome::kNotRun));
  const auto reply = harness.SendBindingRequest(
      VisitKind::kMoveBinding, binding, Binding{.sequence = 99}, first);
  BOOST_TEST(!reply.moved_to.has_value());
}

BOOST_AUTO_TEST_CASE(BindingsExpireOnClockOfGate) {
  GateHarness harness;
  const auto early = harness.IssueBinding();
  harness.AdvanceTo(200s);
  const auto late = harness.IssueBinding();
  harness.AdvanceTo(BindingTable::kLifetime + 2s);
  harness.IssueBinding();
  BOOST_TEST(
      (harness.SendBindingRequest(VisitKind::kQueryBinding, early).reason ==
       Reason::kBindingLost));
  BOOST_TEST(
      (harness.SendBindingRequest(VisitKind::kQueryBinding, late).reason ==
       Reason::kBindingFenced));
}

BOOST_AUTO_TEST_CASE(BindingTableStaysWithinBounds) {
  SeededRandom random(1);
  BindingTable table({.self = kGateAddress,
                      .incarnation = 1,
                      .max_states = 64,
                      .max_records = 8,
                      .max_response_bytes = 1000},
                     random);
  std::vector<Binding> finished;
  const auto answer = std::make_shared<HttpResponse>(
      HttpResponse{.body = std::string(300, 'x')});
  for (int index = 0; index < 100; ++index) {
    const auto refused = table.Issue(0s);
    table.MarkRefused(refused, {});
    finished.push_back(table.Issue(0s));
    table.Activate(finished.back(), 1, VisitId{.low = 1});
    table.Finish(finished.back(), answer);
    BOOST_TEST(table.StateCount() <= 64U);
    BOOST_TEST(table.RecordCount() <= 9U);
    BOOST_TEST(table.ResponseBytes() <= 1000U);
  }
  BOOST_TEST((table.Find(0s, finished.back()).state == kFinished));
  BOOST_TEST((table.Find(0s, finished[90]).state == kLost));
  BOOST_TEST((table.Find(0s, finished[1]).state == kLost));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
