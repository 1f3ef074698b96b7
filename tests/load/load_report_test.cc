#include "libraries/load/load_report.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace agaterun::load {

namespace {

RequestMix OneKind() {
  return *RequestMix::Parse("[request a]\ntarget = /a/b\n");
}

// Ten whole answers in each tenth of a second of [from, until).
void AddSteadyLoad(LoadReport& report, Duration from, Duration until) {
  for (Duration at = from; at < until; at += 10ms) {
    report.Add({.ending = Ending::kWhole, .sent_at = at, .latency = 1us});
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LoadReportTest)

BOOST_AUTO_TEST_CASE(RecoveryIsTheFirstSecondBackAtNormal) {
  LoadReport report(OneKind());
  AddSteadyLoad(report, 0s, 10s);
  // The trigger lasts from 10 s to 20 s, and answers come back at 20.5 s.
  AddSteadyLoad(report, 20500ms, 30s);
  const auto recovery = report.RecoveryTime({.from = 10s, .until = 20s}, 1s);
  BOOST_REQUIRE(recovery.has_value());
  BOOST_TEST((*recovery == 500ms));
}

BOOST_AUTO_TEST_CASE(NoRecoveryWhenGoodputStaysLow) {
  LoadReport report(OneKind());
  AddSteadyLoad(report, 0s, 10s);
  for (Duration at = 20s; at < 30s; at += 20ms) {
    report.Add({.ending = Ending::kWhole, .sent_at = at, .latency = 1us});
  }
  BOOST_TEST(!report.RecoveryTime({.from = 10s, .until = 20s}, 1s).has_value());
}

BOOST_AUTO_TEST_CASE(OnlyWholeAnswersAreGoodput) {
  LoadReport report(OneKind());
  for (const auto& [ending, name] : kEndingNames) {
    report.Add({.ending = ending, .sent_at = 0s, .latency = 1ms});
  }
  BOOST_TEST(report.Goodput(0s, 1s) == 1);
  BOOST_TEST(report.Count(Ending::kNotRun) == 1U);
}

BOOST_AUTO_TEST_CASE(TableAndCsvNameEveryKind) {
  LoadReport report(OneKind());
  report.Add({.ending = Ending::kWhole, .sent_at = 0s, .latency = 10ms});
  std::ostringstream table;
  report.WriteTable(table);
  BOOST_TEST(table.str().find("a  ") != std::string::npos);
  std::ostringstream csv;
  report.WriteCsv(csv);
  BOOST_TEST(csv.str().find("0.0,a,normal,1,1,0,0,0,0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(QuantilesAreWithinTheResolution) {
  LatencyHistogram latencies;
  for (int value = 1; value <= 1000; ++value) {
    latencies.Add(value);
  }
  BOOST_TEST(latencies.Quantile(0.5) > 500 * 0.97);
  BOOST_TEST(latencies.Quantile(0.5) < 500 * 1.03);
  BOOST_TEST(latencies.Quantile(0.99) > 990 * 0.97);
  BOOST_TEST(latencies.Quantile(0.99) < 990 * 1.03);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::load
