#include "libraries/admission/use_correction.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(UseCorrectionTest)

struct Fixture {
  // Notes the same figures every 50 ms.
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

// Pattern: requests break off early, at a third of what they would use.
BOOST_FIXTURE_TEST_CASE(UnusedSlotsArePlannedAgain, Fixture) {
  this->NoteFor(10s, 30, 10);
  BOOST_TEST(this->Stretch() > 2.8);
  BOOST_TEST(this->Stretch() < 3.1);
}

// Pattern: a surge is planned for at once and reaches the slots some hundred
// milliseconds later.
BOOST_FIXTURE_TEST_CASE(ASurgeOnItsWayOpensLittle, Fixture) {
  this->NoteFor(5s, 10, 10);
  this->NoteFor(400ms, 30, 10);
  BOOST_TEST(this->Stretch() < 1.2);
}

// Pattern: what broke off early runs to its end again.
BOOST_FIXTURE_TEST_CASE(ClosesWithinASecondAndAHalf, Fixture) {
  this->NoteFor(10s, 30, 10);
  this->NoteFor(1500ms, 80, 33);
  BOOST_TEST(this->Stretch() < 1.3);
}

// Pattern: more begins than fits, and what finds no slot breaks off. That slots
// are taken by less than was planned must not keep it so.
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
