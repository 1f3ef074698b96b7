#include "libraries/admission/use_correction.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(UseCorrectionTest)

struct Fixture {
  // Adds the same sample every 50 ms.
  void NoteFor(Duration time, double planned, double used) {
    for (const auto end = this->now + time; this->now < end;
         this->now += 50ms) {
      this->correction.Note(this->now, "ledger",
                            {.there = 32, .planned = planned, .used = used});
    }
  }

  double Stretch() { return this->correction.StretchOf("ledger"); }

  Instant now = 100s;
  UseCorrection correction;
};

BOOST_FIXTURE_TEST_CASE(PlansThatAreUsedAreLeftAlone, Fixture) {
  this->NoteFor(10s, 30, 31);
  BOOST_TEST(this->Stretch() == 1);
  BOOST_TEST(this->correction.StretchOf("unknown") == 1);
}

// Requests fail early and use a third of the planned slots.
BOOST_FIXTURE_TEST_CASE(UnusedSlotsArePlannedAgain, Fixture) {
  this->NoteFor(10s, 30, 10);
  BOOST_TEST(this->Stretch() > 2.8);
  BOOST_TEST(this->Stretch() < 3.1);
}

// A surge is included in the plan immediately but reaches the slots some
// hundred milliseconds later. This must not look like unused slots.
BOOST_FIXTURE_TEST_CASE(ASurgeOnItsWayOpensLittle, Fixture) {
  this->NoteFor(5s, 10, 10);
  this->NoteFor(400ms, 30, 10);
  BOOST_TEST(this->Stretch() < 1.2);
}

// Requests that failed early run to completion again.
BOOST_FIXTURE_TEST_CASE(ClosesWithinASecondAndAHalf, Fixture) {
  this->NoteFor(10s, 30, 10);
  this->NoteFor(1500ms, 80, 33);
  BOOST_TEST(this->Stretch() < 1.3);
}

// Failure: more requests are admitted than fit, and those that find no free
// slot fail early. The used slots then stay below the planned ones, which must
// not keep the overcommitment up.
BOOST_FIXTURE_TEST_CASE(FullSlotsEndAnyExcess, Fixture) {
  this->NoteFor(10s, 120, 33);
  BOOST_TEST(this->Stretch() == 1);
}

BOOST_FIXTURE_TEST_CASE(AnIdleServiceTellsNothing, Fixture) {
  this->NoteFor(10s, 0.5, 0);
  BOOST_TEST(this->Stretch() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
