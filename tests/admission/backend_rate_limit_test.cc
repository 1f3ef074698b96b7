#include "libraries/admission/backend_rate_limit.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace agaterun::admission {

BOOST_AUTO_TEST_SUITE(BackendRateLimitTest)

// The promise to backend servers: in any 4 s at most one and a half times what
// the stated rate allows, and 5 requests.
constexpr Duration kWindow = 4s;

double MaxRequestsInWindow(double rate) {
  return 1.5 * rate * ToSeconds(kWindow) + 5;
}

// Starts requests whenever the limit allows, and counts those of the last
// window.
class GreedyCaller {
 public:
  void Run(BackendRateLimit& limit, Instant& now, Duration time) {
    for (const auto end = now + time; now < end; now += 1ms) {
      while (limit.MayStart(now)) {
        limit.Started(now);
        this->starts.push_back(now);
      }
      while (!this->starts.empty() && now - this->starts.front() >= kWindow) {
        this->starts.pop_front();
      }
      this->most_in_window =
          std::max(this->most_in_window, this->starts.size());
    }
  }

  std::size_t most_in_window = 0;

 private:
  std::deque<Instant> starts;
};

BOOST_AUTO_TEST_CASE(StatedRateHoldsInEveryWindow) {
  for (const double rate : {0.0, 0.1, 0.5, 1.0, 4.8, 6.0, 32.9, 49.5, 400.0}) {
    BOOST_TEST_CONTEXT("rate " << rate) {
      BackendRateLimit limit;
      Instant now = 100s;
      limit.SetStatedRate(now, rate);
      GreedyCaller caller;
      caller.Run(limit, now, 20s);
      const auto most = static_cast<double>(caller.most_in_window);
      BOOST_TEST(most <= MaxRequestsInWindow(rate));
      // It is used, too.
      BOOST_TEST(most >= rate * ToSeconds(kWindow));
      BOOST_TEST(most >= 1);
    }
  }
}

// Guards against a restarted node that sends at full rate until the first
// response names the limit again.
BOOST_AUTO_TEST_CASE(RestartedProcessKeepsTheLimitThatItDoesNotKnow) {
  for (const double rate : {0.0, 0.5, 1.0, 4.8, 49.5}) {
    for (const auto time_to_response : {10ms, 300ms, 5000ms}) {
      BOOST_TEST_CONTEXT("rate " << rate << ", first response after "
                                 << time_to_response.count() << " ms") {
        Instant now = 100s;
        GreedyCaller caller;
        BackendRateLimit before;
        before.SetStatedRate(now, rate);
        caller.Run(before, now, 10s);
        now += 500ms;  // The restart.
        BackendRateLimit after;
        caller.Run(after, now, time_to_response);
        after.SetStatedRate(now, rate);
        caller.Run(after, now, 10s);
        BOOST_TEST(static_cast<double>(caller.most_in_window) <=
                   MaxRequestsInWindow(rate));
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(EndsWithTheFirstResponseThatStatesNoLimit) {
  BackendRateLimit limit;
  limit.SetStatedRate(100s, 2);
  BOOST_TEST(limit.IsLimiting());
  limit.SetStatedRate(101s, std::nullopt);
  BOOST_TEST(!limit.IsLimiting());
  for (int request = 0; request < 1000; ++request) {
    BOOST_TEST(limit.MayStart(101s));
    limit.Started(101s);
  }
  BOOST_TEST((limit.ExpectedWait(101s, 50) == Duration{}));
}

BOOST_AUTO_TEST_CASE(RequestMayStartAfterItsExpectedWait) {
  for (const double rate : {0.0, 0.3, 4.8, 49.5}) {
    BackendRateLimit limit;
    Instant now = 100s;
    limit.SetStatedRate(now, rate);
    for (int request = 0; request < 200; ++request) {
      now += limit.ExpectedWait(now, 0);
      BOOST_TEST(limit.MayStart(now));
      limit.Started(now);
    }
  }
}

BOOST_AUTO_TEST_CASE(WaitGrowsWithTheRequestsAhead) {
  BackendRateLimit limit;
  limit.SetStatedRate(100s, 4);
  limit.Started(100s);
  BOOST_TEST((limit.ExpectedWait(100s, 0) == 250ms));
  BOOST_TEST((limit.ExpectedWait(100s, 3) == 1s));
}

BOOST_AUTO_TEST_CASE(ConcurrencyFollowsFromRateAndServiceTime) {
  BackendRateLimit limit;
  BOOST_TEST(!limit.Concurrency(1s).has_value());
  limit.SetStatedRate(100s, 48);
  BOOST_TEST(*limit.Concurrency(250ms) == 12);
  BOOST_TEST(*limit.Concurrency(Duration{}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::admission
