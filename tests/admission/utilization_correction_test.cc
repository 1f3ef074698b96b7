#include "libraries/admission/utilization_correction.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(UtilizationCorrectionTest)

struct Fixture {
  // Adds the same sample every 50 ms.
  void AddSamplesFor(Duration time, double planned, double used) {
    for (const auto end = this->now + time; this->now < end;
         this->now += 50ms) {
      this->correction.AddSample(
          this->now, "ledger",
          {.capacity = 32, .planned = planned, .used = used});
    }
  }

  double Overcommit() { return this->correction.OvercommitOf("ledger"); }

  Instant now = 100s;
  UtilizationCorrection correction;
};

BOOST_FIXTURE_TEST_CASE(UsedPlannedSlotsCauseNoOvercommit, Fixture) {
  this->AddSamplesFor(10s, 30, 31);
  BOOST_TEST(this->Overcommit() == 1);
  BOOST_TEST(this->correction.OvercommitOf("unknown") == 1);
}

// Requests fail early and use a third of the planned slots.
BOOST_FIXTURE_TEST_CASE(UnusedPlannedSlotsCauseOvercommit, Fixture) {
  this->AddSamplesFor(10s, 30, 10);
  BOOST_TEST(this->Overcommit() > 2.8);
  BOOST_TEST(this->Overcommit() < 3.1);
}

// A surge is included in the plan immediately but reaches the slots some
// hundred milliseconds later. This must not look like unused slots.
BOOST_FIXTURE_TEST_CASE(StartOfSurgeCausesLittleOvercommit, Fixture) {
  this->AddSamplesFor(5s, 10, 10);
  this->AddSamplesFor(400ms, 30, 10);
  BOOST_TEST(this->Overcommit() < 1.2);
}

// Requests that failed early run to completion again.
BOOST_FIXTURE_TEST_CASE(OvercommitEndsWithin1500Ms, Fixture) {
  this->AddSamplesFor(10s, 30, 10);
  this->AddSamplesFor(1500ms, 80, 33);
  BOOST_TEST(this->Overcommit() < 1.3);
}

// Failure: more requests are admitted than fit, and those that find no free
// slot fail early. The used slots then stay below the planned ones, which must
// not keep the overcommitment up.
BOOST_FIXTURE_TEST_CASE(FullSlotsEndOvercommit, Fixture) {
  this->AddSamplesFor(10s, 120, 33);
  BOOST_TEST(this->Overcommit() == 1);
}

BOOST_FIXTURE_TEST_CASE(IdleServiceCausesNoOvercommit, Fixture) {
  this->AddSamplesFor(10s, 0.5, 0);
  BOOST_TEST(this->Overcommit() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
