#include <boost/test/unit_test.hpp>

#include "tests/decision/gate_simulation.h"

// Effect of the admission mechanisms under load, on virtual time. Several cases
// compare with the same run with mechanisms switched off.
namespace agaterun::decision {

namespace {

GateSimulation Simulate(GateSimulation::Options options) {
  options.backend.slots = 25;
  options.backend.service_time = 200ms;
  options.deadline = 2s;
  options.trigger_start = 3s;
  options.trigger_end = 9s;
  options.end = 13s;
  GateSimulation simulation(options);
  simulation.Run();
  return simulation;
}

double GoodputFraction(const GateSimulation& simulation) {
  return simulation.Goodput(3s, 9s) / simulation.Bound(true);
}

double CompletedFraction(const GateSimulation& simulation,
                         Importance importance) {
  const auto& count = simulation.ByClass(importance);
  return static_cast<double>(count.completed) / count.offered;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(GatePolicyTest)

BOOST_AUTO_TEST_CASE(GoodputStaysNearBoundAndRecoversWithinOneSecond) {
  struct Row {
    double surge;
    double slowdown;
  };
  for (const auto& row : {Row{2, 1}, Row{10, 1}, Row{1, 5}, Row{2, 5}}) {
    BOOST_TEST_CONTEXT("surge " << row.surge << " slow " << row.slowdown) {
      const auto simulation = Simulate({.published_slots = 25,
                                        .surge = row.surge,
                                        .slowdown = row.slowdown});
      BOOST_TEST(GoodputFraction(simulation) >= 0.9);
      BOOST_TEST((simulation.RecoveryTime() <= 1s));
      BOOST_TEST(simulation.WastedFraction() <= 0.03);
      BOOST_TEST(simulation.Inversions() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(AdaptiveLimitFindsTwiceThePublishedSlots) {
  GateSimulation::Options options{.published_slots = 12, .surge = 2};
  BOOST_TEST(GoodputFraction(Simulate(options)) >= 0.85);
  options.disabled = {Mechanism::kAdaptiveLimit};
  BOOST_TEST(GoodputFraction(Simulate(options)) < 0.6);
}

BOOST_AUTO_TEST_CASE(SlowBackendServerDoesNotLowerLimit) {
  // A slow backend server must not reduce the number of slots in use.
  const auto simulation = Simulate({.published_slots = 25, .slowdown = 5});
  BOOST_TEST(simulation.LowestLimit() >= 25);
}

BOOST_AUTO_TEST_CASE(CriticalRequestsAreShedLast) {
  const auto simulation = Simulate({.published_slots = 25, .surge = 10});
  BOOST_TEST(CompletedFraction(simulation, Importance::kCritical) > 0.9);
  BOOST_TEST(CompletedFraction(simulation, Importance::kBackground) < 0.2);
  const auto without_mechanisms =
      Simulate({.published_slots = 25,
                .disabled = {Mechanism::kDisplacement, Mechanism::kThreshold},
                .surge = 10});
  BOOST_TEST(CompletedFraction(without_mechanisms, Importance::kCritical) <
             0.9);
}

BOOST_AUTO_TEST_CASE(FairSharesLimitGreedyShareWithinOneClass) {
  // Low load outside the surge, so that the result depends on the surge.
  GateSimulation::Options options{.published_slots = 25,
                                  .backend = {.variation = 0.5},
                                  .load = 0.2,
                                  .greedy_share_factor = 20,
                                  .mix = {0, 0, 1, 0},
                                  .origin_sheds = false,
                                  .disabled = {Mechanism::kThreshold},
                                  .surge = 40};
  const auto modest_fraction = [](GateSimulation simulation) {
    const auto& completed = simulation.completed_by_share;
    return static_cast<double>(completed.at("modest0")) /
           completed.at("greedy");
  };
  const double fair = modest_fraction(Simulate(options));
  options.disabled = {Mechanism::kThreshold, Mechanism::kFairShares};
  const double unfair = modest_fraction(Simulate(options));
  BOOST_TEST(fair > 0.45);
  BOOST_TEST(unfair < 0.1);
}

BOOST_AUTO_TEST_CASE(ThresholdReopensWithinOneSecond) {
  AdmissionThresholdController controller;
  Instant now = 1s;
  for (; now < 3s; now += 1ms) {
    controller.OnArrival(now, Importance::kNormal,
                         static_cast<std::uint16_t>(now / 1ms % 256));
    if (now / 1ms % 10 == 0) {
      controller.OnStart(now);
    }
    controller.OnOverload(now, Importance::kNormal, 0);
    controller.OnRunning(now, 10, 10);
  }
  controller.OnRunning(now, 0, 10);
  BOOST_TEST((controller.Threshold(now) != AdmissionThreshold{}));
  BOOST_TEST((controller.Threshold(now + 1s) == AdmissionThreshold{}));
}

BOOST_AUTO_TEST_CASE(RetryAfterIsJittered) {
  SeededRandom random(1);
  RetryAfter retry_after(random);
  for (int start = 0; start < 100; ++start) {
    retry_after.OnStart(0s);
  }
  Duration shortest = 1h;
  Duration longest{};
  for (int refusal = 0; refusal < 500; ++refusal) {
    const auto wait = retry_after.OnRefusal(0s, 0);
    shortest = std::min(shortest, wait);
    longest = std::max(longest, wait);
  }
  BOOST_TEST((longest >= 3s));
  BOOST_TEST((longest <= 8s));
  BOOST_TEST((shortest < 500ms));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
