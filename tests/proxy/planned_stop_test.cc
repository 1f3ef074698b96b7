#include "libraries/proxy/planned_stop.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

struct Fixture {
  Fixture() { this->stop.SetGrace(6s); }

  Instant now = 100s;
  PlannedStop stop;
};

BOOST_FIXTURE_TEST_CASE(NothingHappensWithoutASignal, Fixture) {
  BOOST_TEST(!this->stop.HasStarted());
  BOOST_TEST(!this->stop.TakeLeaving(this->now));
  BOOST_TEST(!this->stop.TakeEnd(this->now, /*is_idle=*/true));
}

BOOST_FIXTURE_TEST_CASE(ServesOnThenLeavesThenEndsWhenIdle, Fixture) {
  this->stop.Start(this->now);
  BOOST_TEST(!this->stop.TakeLeaving(this->now + 1100ms));
  BOOST_TEST(this->stop.TakeLeaving(this->now + 1300ms));
  BOOST_TEST(!this->stop.TakeLeaving(this->now + 1400ms));
  BOOST_TEST(!this->stop.TakeEnd(this->now + 2200ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.TakeEnd(this->now + 2400ms, /*is_idle=*/false));
  BOOST_TEST(this->stop.TakeEnd(this->now + 2500ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.TakeEnd(this->now + 2600ms, /*is_idle=*/true));
}

BOOST_FIXTURE_TEST_CASE(EndsBeforeTheKillWhateverIsInFlight, Fixture) {
  this->stop.Start(this->now);
  this->stop.TakeLeaving(this->now + 2s);
  BOOST_TEST(!this->stop.TakeEnd(this->now + 5400ms, /*is_idle=*/false));
  BOOST_TEST(this->stop.TakeEnd(this->now + 5500ms, /*is_idle=*/false));
}

// Guards against accepting a request more than five seconds after the signal,
// which the exit of the process then interrupted.
BOOST_FIXTURE_TEST_CASE(TakesNothingThatMightBeCutAtTheEnd, Fixture) {
  BOOST_TEST(this->stop.TakesRequests(this->now));
  this->stop.Start(this->now);
  BOOST_TEST(this->stop.TakesRequests(this->now + 2900ms));
  BOOST_TEST(!this->stop.TakesRequests(this->now + 3s));
  BOOST_TEST(!this->stop.TakesRequests(this->now + 5s));
}

BOOST_FIXTURE_TEST_CASE(ASecondSignalDoesNotStartAnew, Fixture) {
  this->stop.Start(this->now);
  this->stop.Start(this->now + 5s);
  BOOST_TEST(this->stop.TakeEnd(this->now + 5500ms, /*is_idle=*/false));
}

// With a grace period of 2 s, each step gets less time.
BOOST_FIXTURE_TEST_CASE(AShortGraceShortensEachStep, Fixture) {
  this->stop.SetGrace(2s);
  this->stop.Start(this->now);
  BOOST_TEST(this->stop.TakeLeaving(this->now + 500ms));
  BOOST_TEST(!this->stop.TakeEnd(this->now + 900ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.TakesRequests(this->now + 1s));
  BOOST_TEST(this->stop.TakeEnd(this->now + 1s, /*is_idle=*/true));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
