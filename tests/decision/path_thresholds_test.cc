#include "libraries/decision/path_thresholds.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(PathThresholdsTest)

// Refuses half of the class normal.
constexpr AdmissionThreshold kHalfOfNormal = {.cutoff = Importance::kNormal,
                                              .keys = 128};

struct Fixture {
  // Reports the same threshold until the level has converged to it.
  void ReportThreshold(AdmissionThreshold threshold) {
    for (int answer = 0; answer < 12; ++answer) {
      this->thresholds.RecordReport(this->now, "drafts", "open",
                                    {{"ledger", threshold}}, 800ms);
    }
  }
  bool IsAdmitted(Importance importance, std::uint16_t key) {
    return this->thresholds
        .Decide(this->now, "drafts", "open", importance, key, this->random)
        .admitted;
  }

  Instant now = 1s;
  SeededRandom random{1};
  PathThresholds thresholds{{}};
};

BOOST_AUTO_TEST_CASE(RefusesRequestsThatDeepServiceWouldRefuse) {
  Fixture fixture;
  BOOST_TEST(fixture.IsAdmitted(Importance::kBackground, 255));
  fixture.ReportThreshold(kHalfOfNormal);
  for (int key = 0; key < kAdmissionKeys; ++key) {
    for (const auto& row : kImportanceNames) {
      const auto admission_key = static_cast<std::uint16_t>(key);
      BOOST_TEST(fixture.IsAdmitted(row.value, admission_key) ==
                 Admits(kHalfOfNormal, row.value, admission_key));
    }
  }
  const auto other =
      fixture.thresholds.Decide(fixture.now, "drafts", "list",
                                Importance::kBackground, 255, fixture.random);
  BOOST_TEST(other.admitted);
}

BOOST_AUTO_TEST_CASE(AdmitsEverythingOneSecondAfterLastReport) {
  Fixture fixture;
  fixture.ReportThreshold({.cutoff = Importance::kCritical, .keys = 0});
  BOOST_TEST(!fixture.IsAdmitted(Importance::kCritical, 255));
  fixture.now += 999ms;
  BOOST_TEST(fixture.IsAdmitted(Importance::kBackground, 255));
}

BOOST_AUTO_TEST_CASE(FewProbesDetectRecoveryWithinOneSecond) {
  Fixture fixture;
  fixture.ReportThreshold({.cutoff = Importance::kCritical, .keys = 0});
  int probes = 0;
  Duration elapsed{};
  // 200 requests per second; each admitted one gets a reply immediately.
  for (; elapsed < 2s; elapsed += 5ms, fixture.now += 5ms) {
    if (fixture.IsAdmitted(Importance::kBackground, 255)) {
      ++probes;
      fixture.thresholds.RecordReport(fixture.now, "drafts", "open",
                                      {{"ledger", AdmissionThreshold{}}}, {});
    }
    if (fixture.thresholds.InForce(fixture.now, "drafts", "open").empty()) {
      break;
    }
  }
  BOOST_TEST((elapsed < 1s));
  BOOST_TEST(probes < 30);
}

BOOST_AUTO_TEST_CASE(RetryAfterIsJittered) {
  Fixture fixture;
  fixture.ReportThreshold({.cutoff = Importance::kCritical, .keys = 0});
  auto shortest = Duration::max();
  auto longest = Duration::min();
  for (int caller = 0; caller < 200; ++caller) {
    const auto verdict = fixture.thresholds.Decide(
        fixture.now, "drafts", "open", Importance::kNormal, 0, fixture.random);
    BOOST_REQUIRE(!verdict.admitted);
    shortest = std::min(shortest, verdict.retry_after);
    longest = std::max(longest, verdict.retry_after);
  }
  BOOST_TEST((shortest >= 400ms && shortest < 450ms));
  BOOST_TEST((longest <= 1200ms && longest > 1150ms));
}

BOOST_AUTO_TEST_CASE(TablesAreBounded) {
  PathThresholds thresholds({.max_routes = 2, .max_services = 1});
  SeededRandom random(1);
  const AdmissionThreshold strict = {.cutoff = Importance::kCritical};
  for (const char* route : {"a", "b", "c"}) {
    thresholds.RecordReport(1s, "drafts", route, {{"x", strict}, {"y", strict}},
                            {});
  }
  BOOST_TEST(thresholds.InForce(1s, "drafts", "a").size() == 1U);
  BOOST_TEST(thresholds.InForce(1s, "drafts", "c").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
