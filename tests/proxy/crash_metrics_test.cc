#include "libraries/proxy/crash_metrics.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(CrashMetricsTest)

BOOST_AUTO_TEST_CASE(ShowsSuspectedAndQuarantinedRequests) {
  const auto text = CrashMetrics(
      {.suspected = 5, .quarantined = 1, .quarantines = 2, .cleared = 7});
  for (const auto* line :
       {"agaterun_suspected_requests 5\n", "agaterun_quarantined_requests 1\n",
        "# TYPE agaterun_quarantines_total counter\n"
        "agaterun_quarantines_total 2\n",
        "agaterun_cleared_suspects_total 7\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
