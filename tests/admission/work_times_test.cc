#include "libraries/admission/work_times.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(WorkTimesTest)

const auto short_route = WorkTimes::IdOf("short");
const auto long_route = WorkTimes::IdOf("long");

NodeAddress NodeAt(std::uint32_t index) {
  return {.ip = 0x0a010000 + index, .port = 7300};
}

// Endpoints of one service that report their times to each other.
struct Fixture {
  // Records requests of both routes at an endpoint that is slower than usual by
  // the given factor.
  void RecordRequests(std::size_t endpoint,
                      int short_requests,
                      int long_requests,
                      double slowness = 1) {
    const auto service_time = [&](Duration usual) {
      return std::chrono::duration_cast<Duration>(usual * slowness);
    };
    auto& times = this->endpoints[endpoint];
    for (int request = 0; request < short_requests; ++request) {
      times.RecordServiceTime(this->now, short_route, service_time(40ms));
    }
    for (int request = 0; request < long_requests; ++request) {
      times.RecordServiceTime(this->now, long_route, service_time(640ms));
    }
  }

  void ReportAll() {
    for (std::size_t from = 0; from < this->endpoints.size(); ++from) {
      for (std::size_t to = 0; to < this->endpoints.size(); ++to) {
        if (from != to) {
          this->endpoints[to].UpdateFromPeer(
              this->now, NodeAt(static_cast<std::uint32_t>(from)),
              this->endpoints[from].HeartbeatEntries(this->now));
        }
      }
    }
  }

  double SlownessOf(std::size_t endpoint) {
    return this->endpoints[endpoint].Slowness(this->now).value_or(0);
  }

  Instant now = 100s;
  std::vector<WorkTimes> endpoints{3};
};

// Two routes of 40 and 640 ms share a service. An endpoint that got more
// requests of the long route must not be rated slower than the others.
BOOST_FIXTURE_TEST_CASE(MixOfRoutesDoesNotAffectSlowness, Fixture) {
  this->RecordRequests(0, 80, 1);
  this->RecordRequests(1, 10, 20);
  this->RecordRequests(2, 0, 20);
  this->ReportAll();
  for (std::size_t endpoint = 0; endpoint < 3; ++endpoint) {
    BOOST_TEST(this->SlownessOf(endpoint) > 0.95);
    BOOST_TEST(this->SlownessOf(endpoint) < 1.05);
  }
}

BOOST_FIXTURE_TEST_CASE(SlownessRatioMatchesThreefoldServiceTimes, Fixture) {
  this->RecordRequests(0, 40, 5);
  this->RecordRequests(1, 40, 5, 3);
  this->RecordRequests(2, 40, 5);
  this->ReportAll();
  const double ratio = this->SlownessOf(1) / this->SlownessOf(0);
  BOOST_TEST(ratio > 2.5);
  BOOST_TEST(ratio < 3.5);
}

// Failure: a backend server turns slow, and none of the requests that it has
// started since has ended yet.
BOOST_FIXTURE_TEST_CASE(LongRunningRequestsRaiseSlownessBeforeTheyEnd,
                        Fixture) {
  this->RecordRequests(0, 40, 0);
  this->RecordRequests(1, 40, 0);
  this->ReportAll();
  this->now += 400ms;
  this->endpoints[0].SetRunning({.taken = 10 * 200ms, .usual = 10 * 40ms});
  BOOST_TEST(this->SlownessOf(0) >= 4);
  BOOST_TEST(this->SlownessOf(1) < 1.1);
}

// A heartbeat encodes slowness in 32 bits, so it must be bounded.
BOOST_FIXTURE_TEST_CASE(SlownessIsLimitedTo100, Fixture) {
  this->RecordRequests(0, 40, 0);
  this->endpoints[0].SetRunning({.taken = 1h, .usual = 1us});
  BOOST_TEST(this->SlownessOf(0) == 100);
}

BOOST_FIXTURE_TEST_CASE(AbortedRequestOnlyRaisesMean, Fixture) {
  this->RecordRequests(0, 20, 0);
  this->endpoints[0].RecordLowerBound(this->now, short_route, 5ms);
  BOOST_TEST((this->endpoints[0].Own(short_route) == 40ms));
  this->endpoints[0].RecordLowerBound(this->now, short_route, 840ms);
  BOOST_TEST((this->endpoints[0].Own(short_route) > 60ms));
}

// Otherwise an endpoint that once was slow would get no more requests, and
// could not prove that it has recovered.
BOOST_FIXTURE_TEST_CASE(FirstRequestAfterIdleTimeReplacesOldSlowness, Fixture) {
  this->RecordRequests(0, 40, 0, 10);
  this->RecordRequests(1, 40, 0);
  this->ReportAll();
  BOOST_TEST(this->SlownessOf(0) > 1.5);
  this->now += 10s;
  BOOST_TEST(!this->endpoints[0].Slowness(this->now).has_value());
  this->RecordRequests(0, 1, 0);
  this->RecordRequests(1, 1, 0);
  this->ReportAll();
  BOOST_TEST(this->SlownessOf(0) < 1.1);
}

BOOST_FIXTURE_TEST_CASE(ClearDiscardsAllTimes, Fixture) {
  this->RecordRequests(0, 40, 0);
  this->RecordRequests(1, 40, 0);
  this->ReportAll();
  this->endpoints[0].Clear();
  BOOST_TEST((this->endpoints[0].Usual(this->now, short_route) == 0ms));
  BOOST_TEST(!this->endpoints[0].Slowness(this->now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
