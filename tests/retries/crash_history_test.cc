#include "libraries/retries/crash_history.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::retries {

BOOST_AUTO_TEST_SUITE(CrashLedgerTest)

constexpr std::uint64_t kPoison = 66;

// Records a crash of the local backend server while the poison request and a
// few others are running.
void Crash(CrashHistory& ledger, Instant now, std::uint64_t id) {
  for (std::uint64_t other = 0; other < 5; ++other) {
    ledger.RecordBrokenExchange(now, id * 1000 + other);
  }
  ledger.RecordBrokenExchange(now, kPoison);
  ledger.RecordLocalCrash(now + 10ms, id);
}

BOOST_AUTO_TEST_CASE(ConvictsWhatWasThereAtThreeCrashesAndNothingElse) {
  CrashHistory ledger;
  Crash(ledger, 100s, 1);
  Crash(ledger, 104s, 2);
  BOOST_TEST(!ledger.IsQuarantined(105s, kPoison));
  Crash(ledger, 108s, 3);
  BOOST_TEST(ledger.IsQuarantined(109s, kPoison));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(!ledger.IsQuarantined(109s, id * 1000));
  }
}

BOOST_AUTO_TEST_CASE(CrashesAtOtherNodesCountOnceEach) {
  CrashHistory here;
  CrashHistory elsewhere;
  Crash(elsewhere, 100s, 1);
  Crash(elsewhere, 101s, 2);
  // Heartbeats report the same crash several times.
  for (int beat = 0; beat < 5; ++beat) {
    for (const auto& crash : elsewhere.HeartbeatEntries(101500ms)) {
      here.RecordReportedCrash(102s, crash);
    }
  }
  BOOST_TEST(!here.IsQuarantined(102s, kPoison));
  Crash(here, 103s, 3);
  BOOST_TEST(here.IsQuarantined(103s, kPoison));
}

BOOST_AUTO_TEST_CASE(WhoRunsToAnEndIsNoLongerSuspected) {
  CrashHistory ledger;
  Crash(ledger, 100s, 1);
  Crash(ledger, 101s, 2);
  ledger.RecordCompletion(kPoison);
  Crash(ledger, 102s, 3);
  BOOST_TEST(!ledger.IsQuarantined(103s, kPoison));
}

BOOST_AUTO_TEST_CASE(ConnectionsThatBreakWithoutACrashTellNothing) {
  CrashHistory ledger;
  for (int time = 100; time < 110; ++time) {
    ledger.RecordBrokenExchange(std::chrono::seconds(time), kPoison);
  }
  BOOST_TEST(!ledger.IsQuarantined(110s, kPoison));
  BOOST_TEST(ledger.Size() == 0U);
  // Exchanges that broke long before a crash are not attributed to it.
  BOOST_TEST(ledger.RecordLocalCrash(120s, 1).empty());
}

BOOST_AUTO_TEST_CASE(ForgivesAfterATime) {
  CrashHistory ledger;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    Crash(ledger, 100s + std::chrono::seconds(id), id);
  }
  BOOST_TEST(ledger.IsQuarantined(200s, kPoison));
  BOOST_TEST(!ledger.IsQuarantined(300s, kPoison));
}

BOOST_AUTO_TEST_CASE(StopsTellingAndStaysSmall) {
  CrashHistory ledger;
  Crash(ledger, 100s, 1);
  BOOST_TEST(ledger.HeartbeatEntries(101s).size() == 1U);
  BOOST_TEST(ledger.HeartbeatEntries(103s).empty());
  for (std::uint64_t id = 0; id < 20'000; ++id) {
    ledger.RecordReportedCrash(104s, {.id = id, .fingerprints = {id}});
  }
  BOOST_TEST(ledger.Size() <= 8193U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::retries
