#include "libraries/retries/retry_quota.h"

#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <vector>

#include "libraries/base/random.h"
#include "tests/retries/retry_fleet.h"

namespace agaterun::retries {

BOOST_AUTO_TEST_SUITE(RetryQuotaTest)

BOOST_AUTO_TEST_CASE(AllowsRatioOfRequestsAndFractionOfExtra) {
  RetryQuota quota({.ratio = 0.2, .extra = 26, .window = 10s});
  quota.SetFleetSize(13);
  // Earns the standing part.
  for (int request = 0; request < 10; ++request) {
    quota.AddRequest(10s, "ledger");
  }
  for (int request = 0; request < 100; ++request) {
    quota.AddRequest(21s, "ledger");
  }
  int taken = 0;
  while (quota.TryConsume(21400ms, "ledger", 1)) {
    ++taken;
  }
  // Nine tenths of 0.2 * 100 + 26 / 13.
  BOOST_TEST(taken == 19);
}

BOOST_AUTO_TEST_CASE(ServicesHaveSeparateLimits) {
  RetryQuota quota({.ratio = 0.2, .extra = 0, .window = 10s});
  for (int request = 0; request < 100; ++request) {
    quota.AddRequest(1s, "ledger");
  }
  BOOST_TEST(!quota.TryConsume(1s, "vault", 1));
  BOOST_TEST(quota.TryConsume(1s, "ledger", 1));
}

BOOST_AUTO_TEST_CASE(RetryWithNestedCallsCostsMore) {
  RetryQuota quota({.ratio = 0.1, .extra = 0, .window = 10s});
  for (int request = 0; request < 100; ++request) {
    quota.AddRequest(1s, "drafts");
  }
  BOOST_TEST(quota.TryConsume(1s, "drafts", 6));
  BOOST_TEST(!quota.TryConsume(1s, "drafts", 6));
  BOOST_TEST(quota.TryConsume(1s, "drafts", 3));
}

// A process that has started has neither earned anything nor may it use the
// extra, since its predecessor may have used it.
BOOST_AUTO_TEST_CASE(NewProcessMayOnlySpendWhatItEarns) {
  RetryQuota quota({.ratio = 0.2, .extra = 26, .window = 10s},
                   /*started=*/100s);
  BOOST_TEST(!quota.TryConsume(109s, "ledger", 1));
  for (int request = 0; request < 6; ++request) {
    quota.AddRequest(109s, "ledger");
  }
  BOOST_TEST(quota.TryConsume(109s, "ledger", 1));
  BOOST_TEST(!quota.TryConsume(109s, "ledger", 1));
}

// What is earned in a surge is no reserve for the time after it, since a window
// then may have few requests.
BOOST_AUTO_TEST_CASE(EarningsAreKeptForFractionOfWindow) {
  RetryQuota quota({.ratio = 0.2, .extra = 4, .window = 10s});
  quota.SetFleetSize(1);
  for (int request = 0; request < 1000; ++request) {
    quota.AddRequest(100s, "ledger");
  }
  int taken = 0;
  while (quota.TryConsume(102s, "ledger", 1)) {
    ++taken;
  }
  // Nine tenths of 4: the standing part, and the extra of the window.
  BOOST_TEST(taken == 3);
}

// Failure: until a process knew other nodes, it took all of the extra retries.
BOOST_AUTO_TEST_CASE(NodeThatDoesNotKnowFleetHasNoExtra) {
  RetryQuota quota({.ratio = 0.2, .extra = 48, .window = 10s});
  BOOST_TEST(!quota.TryConsume(100s, "ledger", 1));
  quota.SetFleetSize(12);
  BOOST_TEST(quota.TryConsume(100s, "ledger", 1));
}

// Nodes that exchange no reports of their retries must stay within the limit of
// the whole fleet in every sliding window.
BOOST_AUTO_TEST_CASE(FleetStaysWithinLimitInEveryWindow) {
  constexpr int kNodes = 13;
  constexpr double kRatio = 0.2;
  constexpr double kExtra = 47;
  constexpr int kSteps = 4000;  // Of 10 ms.
  constexpr int kWindowSteps = 1000;
  SeededRandom random(20261204);
  std::vector<RetryQuota> quotas(
      kNodes, RetryQuota({.ratio = kRatio, .extra = kExtra, .window = 10s}));
  std::vector<int> requests(kSteps);
  std::vector<int> retries(kSteps);
  for (auto& quota : quotas) {
    quota.SetFleetSize(kNodes);
  }
  for (int step = 0; step < kSteps; ++step) {
    const Instant now = 10ms * (step + 1);
    // Alternates between surges and quiet periods.
    const double rate = (step / 500) % 2 == 0 ? 0.5 : 0.02;
    for (auto& quota : quotas) {
      if (random.Unit() < rate) {
        quota.AddRequest(now, "ledger");
        ++requests[static_cast<std::size_t>(step)];
      }
      if (random.Unit() < 0.3 && quota.TryConsume(now, "ledger", 1)) {
        ++retries[static_cast<std::size_t>(step)];
      }
    }
  }
  const auto sum = [](const std::vector<int>& counts, int from, int to) {
    int total = 0;
    for (int step = std::max(0, from); step < to; ++step) {
      total += counts[static_cast<std::size_t>(step)];
    }
    return total;
  };
  for (int end = 50; end <= kSteps; end += 50) {
    const int begin = end - kWindowSteps;
    // The limit follows from the highest request count of three windows: this
    // one, and the ones half a window and a whole window earlier.
    const int max_requests = std::max(
        {sum(requests, begin, end), sum(requests, begin - kWindowSteps, begin),
         sum(requests, begin - kWindowSteps / 2, end - kWindowSteps / 2)});
    BOOST_TEST(sum(retries, begin, end) <= kRatio * max_requests + kExtra);
  }
}

// Failure: a restarted process didn't know what its predecessor had spent, so
// that the fleet exceeded its limit in windows with restarts.
BOOST_AUTO_TEST_CASE(NoSequenceOfRestartsExceedsLimit) {
  constexpr std::uint64_t kSequences = 300;
  for (std::uint64_t seed = 1; seed <= kSequences; ++seed) {
    RetryFleet fleet({.seed = seed});
    fleet.PlayRandomFaults(40s);
    const auto worst = fleet.WorstWindow();
    BOOST_TEST(worst.retries <= worst.limit,
               "seed " << seed << ": " << worst.retries << " retries in the "
                       << "window that ends at " << ToMilliseconds(worst.end)
                       << " ms, limit " << worst.limit);
  }
}

// Failure: as above, with the kills of the incident: all processes but one
// restart while every request is rejected.
BOOST_AUTO_TEST_CASE(RejectionsAndHerdKillStayWithinLimit) {
  for (const auto& kills : std::vector<std::vector<Instant>>{
           {16500ms}, {15s, 17500ms}, {14s, 16500ms, 19s}}) {
    RetryFleet fleet({.nodes = 12, .extra = 48, .seed = 1});
    fleet.SetTraffic(/*per_second=*/100, /*failing=*/0.7);
    for (const auto kill : kills) {
      fleet.AdvanceTo(kill);
      fleet.Restart(/*nodes=*/11, /*down=*/500ms);
    }
    fleet.AdvanceTo(30s);
    const auto worst = fleet.WorstWindow();
    BOOST_TEST(worst.retries <= worst.limit, kills.size()
                                                 << " kills: " << worst.retries
                                                 << " > " << worst.limit);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::retries
