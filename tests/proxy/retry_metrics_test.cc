#include "libraries/proxy/retry_metrics.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(RetryMetricsTest)

BOOST_AUTO_TEST_CASE(ShowsWhatWasAllowedAndConsumedByService) {
  retries::RetryQuota quota({.ratio = 0.2, .extra = 30, .window = 10s});
  quota.SetFleetSize(3);
  for (int request = 0; request < 50; ++request) {
    quota.AddRequest(40s, "vault");
  }
  const auto is_granted = [&] { return quota.TryConsume(40s, "vault", 1); };
  const bool first = is_granted();
  const bool second = is_granted();
  const auto uses = quota.Uses(40s);
  BOOST_TEST_REQUIRE(uses.size() == 1U);
  BOOST_TEST(uses[0].requests == 50);
  BOOST_TEST(uses[0].retries == static_cast<double>(first) + second);
  BOOST_TEST(uses[0].granted + uses[0].denied == 2U);
  const auto text = RetryMetrics(uses, quota.FleetSize());
  for (const auto* line :
       {"agaterun_retry_window_requests{service=\"vault\"} 50\n",
        "# TYPE agaterun_retries_granted_total counter\n",
        "agaterun_retry_fleet_size 3\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
