#include "libraries/proxy/planned_stop.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(PlannedStopTest)

struct Fixture {
  Fixture() { this->stop.SetGrace(6s); }

  Instant now = 100s;
  PlannedStop stop;
};

BOOST_FIXTURE_TEST_CASE(NoStepIsDueWithoutSignal, Fixture) {
  BOOST_TEST(!this->stop.HasStarted());
  BOOST_TEST(!this->stop.StartLeavingIfDue(this->now));
  BOOST_TEST(!this->stop.FinishIfDue(this->now, /*is_idle=*/true));
}

BOOST_FIXTURE_TEST_CASE(StartsLeavingThenFinishesWhenIdle, Fixture) {
  this->stop.Start(this->now);
  BOOST_TEST(!this->stop.StartLeavingIfDue(this->now + 1100ms));
  BOOST_TEST(this->stop.StartLeavingIfDue(this->now + 1300ms));
  BOOST_TEST(!this->stop.StartLeavingIfDue(this->now + 1400ms));
  BOOST_TEST(!this->stop.FinishIfDue(this->now + 2200ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.FinishIfDue(this->now + 2400ms, /*is_idle=*/false));
  BOOST_TEST(this->stop.FinishIfDue(this->now + 2500ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.FinishIfDue(this->now + 2600ms, /*is_idle=*/true));
}

BOOST_FIXTURE_TEST_CASE(FinishesBeforeKillWithRequestsInFlight, Fixture) {
  this->stop.Start(this->now);
  this->stop.StartLeavingIfDue(this->now + 2s);
  BOOST_TEST(!this->stop.FinishIfDue(this->now + 5400ms, /*is_idle=*/false));
  BOOST_TEST(this->stop.FinishIfDue(this->now + 5500ms, /*is_idle=*/false));
}

// Guards against accepting a request more than five seconds after the signal,
// which the exit of the process then interrupted.
BOOST_FIXTURE_TEST_CASE(RejectsRequestsLateInTheStop, Fixture) {
  BOOST_TEST(this->stop.AcceptsRequests(this->now));
  this->stop.Start(this->now);
  BOOST_TEST(this->stop.AcceptsRequests(this->now + 2900ms));
  BOOST_TEST(!this->stop.AcceptsRequests(this->now + 3s));
  BOOST_TEST(!this->stop.AcceptsRequests(this->now + 5s));
}

BOOST_FIXTURE_TEST_CASE(SecondSignalHasNoEffect, Fixture) {
  this->stop.Start(this->now);
  this->stop.Start(this->now + 5s);
  BOOST_TEST(this->stop.FinishIfDue(this->now + 5500ms, /*is_idle=*/false));
}

// With a grace period of 2 s, each step gets less time.
BOOST_FIXTURE_TEST_CASE(ShortGracePeriodShortensSteps, Fixture) {
  this->stop.SetGrace(2s);
  this->stop.Start(this->now);
  BOOST_TEST(this->stop.StartLeavingIfDue(this->now + 500ms));
  BOOST_TEST(!this->stop.FinishIfDue(this->now + 900ms, /*is_idle=*/true));
  BOOST_TEST(!this->stop.AcceptsRequests(this->now + 1s));
  BOOST_TEST(this->stop.FinishIfDue(this->now + 1s, /*is_idle=*/true));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
