#include "libraries/operator/metrics.h"

#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace agaterun::operator_interface {

using decision::Importance;
using decision::Outcome;
using decision::Reason;

BOOST_AUTO_TEST_SUITE(MetricsTest)

BOOST_AUTO_TEST_CASE(CountsCallsByImportanceOutcomeAndReason) {
  Metrics metrics;
  metrics.RecordCall(Importance::kCritical, Outcome::kCompleted, Reason::kNone,
                     10ms);
  metrics.RecordCall(Importance::kNormal, Outcome::kNotRun, Reason::kOverloaded,
                     1ms);
  const auto text = metrics.ToText();
  BOOST_TEST(text.find("agaterun_calls_total{importance=\"critical\",outcome="
                       "\"completed\",reason=\"none\"} 1") !=
             std::string::npos);
  BOOST_TEST(text.find("agaterun_calls_total{importance=\"normal\",outcome="
                       "\"not-run\",reason=\"overloaded\"} 1") !=
             std::string::npos);
  BOOST_TEST(text.find("agaterun_call_milliseconds_count{} 2") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(BucketsAreCumulative) {
  Metrics metrics;
  metrics.RecordServiceTime(1ms);
  metrics.RecordServiceTime(100ms);
  const auto text = metrics.ToText();
  BOOST_TEST(text.find("agaterun_service_milliseconds_bucket{le=\"+Inf\"} 2") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(RecordsFromManyThreads) {
  Metrics metrics;
  constexpr int kThreads = 4;
  constexpr int kCalls = 1000;
  std::vector<std::thread> threads;
  for (int index = 0; index < kThreads; ++index) {
    threads.emplace_back([&metrics] {
      for (int call = 0; call < kCalls; ++call) {
        metrics.RecordCall(Importance::kHigh, Outcome::kCompleted,
                           Reason::kNone, 1ms);
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  BOOST_TEST(metrics.ToText().find("agaterun_call_milliseconds_count{} 4000") !=
             std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::operator_interface
