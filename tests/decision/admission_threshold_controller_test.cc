#include "libraries/decision/admission_threshold_controller.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::decision {

namespace {

constexpr Duration kStep = 10ms;
constexpr int kSlots = 10;

// Generates a steady demand of 10 normal requests per step. `capacity` of them
// start; the others that the threshold admits are refused as overload.
struct Demand {
  void Run(Duration length, int capacity, int running) {
    for (Duration elapsed{}; elapsed < length;
         elapsed += kStep, this->now += kStep) {
      this->controller.OnRunning(this->now, running, kSlots);
      int started = 0;
      for (int request = 0; request < 10; ++request) {
        const auto key =
            static_cast<std::uint16_t>(this->next_key++ * 37 % kAdmissionKeys);
        // Requests that the threshold refuses are refused at the origin and not
        // seen by the gate.
        if (!Admits(this->controller.Threshold(this->now), Importance::kNormal,
                    key)) {
          continue;
        }
        this->controller.OnArrival(this->now, Importance::kNormal, key);
        if (started < capacity) {
          ++started;
          this->controller.OnStart(this->now);
        } else {
          this->controller.OnOverload(this->now, Importance::kNormal, key);
        }
      }
    }
  }

  Instant now = 1s;
  int next_key = 0;
  AdmissionThresholdController controller;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionThresholdControllerTest)

BOOST_AUTO_TEST_CASE(ThresholdStaysLowWhileSlotsAreFull) {
  Demand demand;
  demand.Run(2s, 3, kSlots);
  int open_steps = 0;
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps; ++step) {
    demand.Run(kStep, 3, kSlots);
    const auto threshold = demand.controller.Threshold(demand.now);
    open_steps += threshold == AdmissionThreshold{} ? 1 : 0;
  }
  // Windows without overload show that the threshold is effective, not that the
  // overload has ended.
  BOOST_TEST(open_steps == 0);
}

BOOST_AUTO_TEST_CASE(OneOverloadLowersThresholdOnce) {
  Demand demand;
  demand.Run(1s, 5, kSlots);
  const auto after = demand.controller.Threshold(demand.now);
  BOOST_REQUIRE((after.cutoff == Importance::kNormal));
  // Requests that arrived before the level was lowered exceed their queue time
  // one after the other.
  for (int late_request = 0; late_request < 50; ++late_request) {
    demand.now += kStep;
    demand.controller.OnRunning(demand.now, kSlots, kSlots);
    demand.controller.OnOverload(demand.now, Importance::kBackground, 255);
  }
  BOOST_TEST((demand.controller.Threshold(demand.now) == after));
}

BOOST_AUTO_TEST_CASE(ThresholdReopensWithinHalfASecondWhenSlotsAreFree) {
  Demand demand;
  demand.Run(2s, 1, kSlots);
  BOOST_REQUIRE(
      (demand.controller.Threshold(demand.now) != AdmissionThreshold{}));
  demand.Run(500ms, 10, 1);
  BOOST_TEST((demand.controller.Threshold(demand.now) == AdmissionThreshold{}));
}

BOOST_AUTO_TEST_CASE(ThresholdReopensInStepsWhileSlotsHaveSpareCapacity) {
  Demand demand;
  demand.Run(2s, 1, kSlots);
  // Slots are busy but not full, so the level rises one step at a time until
  // everything is admitted.
  demand.Run(40s, 10, 7);
  BOOST_TEST((demand.controller.Threshold(demand.now) == AdmissionThreshold{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
