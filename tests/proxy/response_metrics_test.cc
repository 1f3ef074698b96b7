#include "libraries/proxy/response_metrics.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::proxy {

BOOST_AUTO_TEST_SUITE(ResponseMetricsTest)

BOOST_AUTO_TEST_CASE(ShowsMemoryOfResponses) {
  const auto text =
      ResponseMetrics({.used_bytes = 5, .max_bytes = 9, .given_up = 2});
  for (const auto* line : {"agaterun_response_memory_bytes 5\n",
                           "agaterun_response_memory_max_bytes 9\n",
                           "# TYPE agaterun_responses_given_up_total counter\n"
                           "agaterun_responses_given_up_total 2\n"}) {
    BOOST_TEST(text.find(line) != std::string::npos, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::proxy
