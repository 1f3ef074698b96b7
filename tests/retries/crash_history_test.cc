#include "libraries/retries/crash_history.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

namespace agaterun::retries {

BOOST_AUTO_TEST_SUITE(CrashHistoryTest)

constexpr std::uint64_t kPoison = 66;
constexpr NodeAddress kReporter{.ip = 1, .port = 7300};
const std::vector<NodeAddress> three_endpoints = {{.ip = 1, .port = 7300},
                                                  {.ip = 2, .port = 7300},
                                                  {.ip = 3, .port = 7300}};

// Records a crash of the local backend server while the poison request and a
// few others are running.
void RecordCrash(CrashHistory& history, Instant now, std::uint64_t id) {
  for (std::uint64_t other = 0; other < 5; ++other) {
    history.RecordBrokenExchange(now, id * 1000 + other);
  }
  history.RecordBrokenExchange(now, kPoison);
  history.RecordLocalCrash(now + 10ms, id);
}

BOOST_AUTO_TEST_CASE(OnlyRequestOfThreeCrashesIsQuarantined) {
  CrashHistory history;
  RecordCrash(history, 100s, 1);
  RecordCrash(history, 104s, 2);
  BOOST_TEST(!history.IsQuarantined(105s, kPoison));
  RecordCrash(history, 108s, 3);
  BOOST_TEST(history.IsQuarantined(109s, kPoison));
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_TEST(!history.IsQuarantined(109s, id * 1000));
  }
}

BOOST_AUTO_TEST_CASE(ReportedCrashesCountOnceEach) {
  CrashHistory local;
  CrashHistory remote;
  RecordCrash(remote, 100s, 1);
  RecordCrash(remote, 101s, 2);
  // Heartbeats report the same crash several times.
  for (int beat = 0; beat < 5; ++beat) {
    for (const auto& crash : remote.HeartbeatEntries(101500ms)) {
      local.RecordReportedCrash(102s, kReporter, crash);
    }
  }
  BOOST_TEST(!local.IsQuarantined(102s, kPoison));
  RecordCrash(local, 103s, 3);
  BOOST_TEST(local.IsQuarantined(103s, kPoison));
}

BOOST_AUTO_TEST_CASE(CompletedRequestIsNoLongerSuspected) {
  CrashHistory history;
  RecordCrash(history, 100s, 1);
  RecordCrash(history, 101s, 2);
  history.RecordCompletion(102s, kPoison);
  RecordCrash(history, 102s, 3);
  BOOST_TEST(!history.IsQuarantined(103s, kPoison));
}

// Failure: a node that doesn't complete the request itself refused it, though
// other nodes completed it between the crashes.
BOOST_AUTO_TEST_CASE(CompletionAtOtherNodeClearsSuspect) {
  CrashHistory gate;
  CrashHistory origin;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    const Instant crash = 100s + std::chrono::seconds(5 * id);
    RecordCrash(gate, crash, id);
    gate.RecordCompletion(crash + 200ms, kPoison);
    // Each heartbeat repeats the crash and the completion.
    for (const auto beat : {300ms, 600ms, 900ms}) {
      const auto now = crash + beat;
      for (const auto fingerprint : gate.ClearedRequests(now)) {
        origin.RecordCompletion(now, fingerprint);
      }
      for (const auto& report : gate.HeartbeatEntries(now)) {
        origin.RecordReportedCrash(now, kReporter, report);
      }
    }
    BOOST_TEST(!origin.IsQuarantined(crash + 1s, kPoison));
  }
  BOOST_TEST(origin.Count(140s).suspected == gate.Count(140s).suspected);
}

// Failure: heartbeats repeat the report of a crash, and the repetition counted
// again after the request had been completed.
BOOST_AUTO_TEST_CASE(RepeatedReportDoesNotCountAgainAfterCompletion) {
  CrashHistory history;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    history.RecordReportedCrash(100s, kReporter,
                                {.id = id, .fingerprints = {kPoison}});
  }
  BOOST_TEST(history.IsQuarantined(100s, kPoison));
  history.RecordCompletion(101s, kPoison);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    history.RecordReportedCrash(102s, kReporter,
                                {.id = id, .fingerprints = {kPoison}});
  }
  BOOST_TEST(!history.IsQuarantined(102s, kPoison));
}

// Failure: a popular request was refused by all nodes for two minutes after
// three endpoints had crashed at the same moment for another reason (a rack
// that lost power), since no completion could clear it any more.
BOOST_AUTO_TEST_CASE(QuarantinedRequestIsTriedAndCleared) {
  CrashHistory history;
  for (std::uint32_t ip = 1; ip <= 3; ++ip) {
    history.RecordReportedCrash(100s, {.ip = ip, .port = 7300},
                                {.id = ip, .fingerprints = {kPoison}});
  }
  BOOST_TEST(history.IsQuarantined(101s, kPoison));
  BOOST_TEST(!history.TrialNode(101s, kPoison, three_endpoints).has_value());
  BOOST_TEST(history.TrialNode(103s, kPoison, three_endpoints)->ip == 1U);
  // The endpoint of the first node may be lost for good.
  BOOST_TEST(history.TrialNode(108s, kPoison, three_endpoints)->ip == 2U);
  history.RecordCompletion(108s, kPoison);
  BOOST_TEST(!history.IsQuarantined(108s, kPoison));
  BOOST_TEST(!history.TrialNode(108s, kPoison, three_endpoints).has_value());
}

// Failure: a harmless request was refused for two minutes after all endpoints
// that had run it were lost for good, since no other endpoint could try it.
BOOST_AUTO_TEST_CASE(EndpointsThatAreLeftTryQuarantinedRequest) {
  CrashHistory history;
  for (const auto& lost : three_endpoints) {
    history.RecordReportedCrash(100s, lost,
                                {.id = lost.ip, .fingerprints = {kPoison}});
  }
  std::vector<NodeAddress> left;
  for (std::uint32_t ip = 4; ip <= 50; ++ip) {
    left.push_back({.ip = ip, .port = 7300});
  }
  const std::vector<NodeAddress> other_order(left.rbegin(), left.rend());
  std::set<NodeAddress> chosen;
  for (Instant now = 103s; now < 220s; now += 1s) {
    const auto node = history.TrialNode(now, kPoison, left);
    BOOST_TEST_REQUIRE(node.has_value());
    BOOST_TEST(node->ip > 3U);
    // All nodes choose the same one.
    BOOST_TEST((history.TrialNode(now, kPoison, other_order) == node));
    chosen.insert(*node);
  }
  // Bounds the crashes of a request whose failed trial part of the nodes
  // doesn't know.
  BOOST_TEST(chosen.size() == 4U);
  // One of those that crashed is back.
  left.push_back(three_endpoints.front());
  BOOST_TEST(
      (history.TrialNode(103s, kPoison, left) == three_endpoints.front()));
  BOOST_TEST(!history.TrialNode(103s, kPoison, {}).has_value());
}

// The opposite: a request that crashes the endpoint that tries it is refused
// without exception for the rest of the quarantine.
BOOST_AUTO_TEST_CASE(RequestThatCrashesItsTrialIsNotTriedAgain) {
  CrashHistory history;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    history.RecordReportedCrash(95s + id * 1s, kReporter,
                                {.id = id, .fingerprints = {kPoison}});
  }
  BOOST_TEST(history.TrialNode(101s, kPoison, three_endpoints).has_value());
  history.RecordReportedCrash(102s, kReporter,
                              {.id = 4, .fingerprints = {kPoison}});
  for (int second = 102; second < 222; ++second) {
    const Instant now = std::chrono::seconds(second);
    BOOST_TEST(history.IsQuarantined(now, kPoison));
    BOOST_TEST(!history.TrialNode(now, kPoison, three_endpoints).has_value());
  }
}

// Has the poison request crash the endpoint that tries it.
void Convict(CrashHistory& history, Instant now) {
  for (std::uint64_t id = 1; id <= 4; ++id) {
    history.RecordReportedCrash(now + id * 3s - 12s, kReporter,
                                {.id = id, .fingerprints = {kPoison}});
  }
}

void SendConvictions(Instant now, CrashHistory& from, CrashHistory& to) {
  for (const auto& [fingerprint, remaining] : from.Convictions(now)) {
    to.RecordReportedConviction(now, fingerprint, remaining);
  }
}

// Failure: in a large fleet each heartbeat reaches a part of the nodes, and
// processes that start know nothing, so that a crashing request found nodes
// that did not refuse it.
BOOST_AUTO_TEST_CASE(NodeThatKnowsNoCrashRefusesConvictedRequest) {
  CrashHistory convicting;
  Convict(convicting, 100s);
  CrashHistory second;
  CrashHistory third;
  SendConvictions(101s, convicting, second);
  SendConvictions(102s, second, third);
  BOOST_TEST(third.IsQuarantined(102s, kPoison));
  BOOST_TEST(!third.TrialNode(150s, kPoison, three_endpoints).has_value());
  BOOST_TEST((third.TakeNewQuarantines() == std::vector{kPoison}));
  SendConvictions(103s, second, third);
  BOOST_TEST(third.Count(103s).quarantines == 1U);
  BOOST_TEST(third.IsQuarantined(219s, kPoison));
  BOOST_TEST(!third.IsQuarantined(221s, kPoison));
}

// Heartbeats have to fit into a datagram.
BOOST_AUTO_TEST_CASE(LatestConvictionsAreReported) {
  CrashHistory history;
  for (std::uint64_t fingerprint = 1; fingerprint <= 50; ++fingerprint) {
    history.RecordReportedConviction(100s, fingerprint, 60s);
  }
  const auto convictions = history.Convictions(101s);
  BOOST_TEST(convictions.size() == 16U);
  BOOST_TEST(convictions.back().fingerprint == 50U);
  BOOST_TEST((convictions.back().remaining == 59s));
  BOOST_TEST(history.Convictions(161s).empty());
}

// A quarantine ends although nodes report it to each other.
BOOST_AUTO_TEST_CASE(ReportsDoNotProlongConviction) {
  constexpr Duration kLatency = 20ms;
  CrashHistory first;
  CrashHistory second;
  Convict(first, 100s);
  for (Instant now = 101s; now < 230s; now += 300ms) {
    const auto sent = first.Convictions(now);
    for (const auto& [fingerprint, remaining] : sent) {
      second.RecordReportedConviction(now + kLatency, fingerprint, remaining);
    }
    SendConvictions(now + kLatency, second, first);
  }
  BOOST_TEST(!first.IsQuarantined(221s, kPoison));
  BOOST_TEST(!second.IsQuarantined(221s, kPoison));
}

// Before a trial has failed, nodes don't agree on a reason to refuse a request.
BOOST_AUTO_TEST_CASE(RequestIsReportedOnceItsTrialFailed) {
  CrashHistory history;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    history.RecordReportedCrash(100s, kReporter,
                                {.id = id, .fingerprints = {kPoison}});
  }
  BOOST_TEST(history.IsQuarantined(101s, kPoison));
  BOOST_TEST(history.Convictions(101s).empty());
  history.RecordReportedCrash(103s, kReporter,
                              {.id = 4, .fingerprints = {kPoison}});
  BOOST_TEST(history.Convictions(103s).size() == 1U);
}

// The opposite: a node at which the request was completed doesn't refuse it,
// and clears it at the nodes that do.
BOOST_AUTO_TEST_CASE(CompletionRefutesReportedConviction) {
  CrashHistory convicting;
  Convict(convicting, 100s);
  CrashHistory completing;
  completing.RecordCompletion(99s, kPoison);
  SendConvictions(101s, convicting, completing);
  BOOST_TEST(!completing.IsQuarantined(101s, kPoison));
  const auto cleared = completing.ClearedRequests(101s);
  BOOST_TEST_REQUIRE(cleared.size() == 1U);
  SendConvictions(102s, convicting, completing);
  BOOST_TEST(completing.ClearedRequests(102s).size() == 1U);
  convicting.RecordCompletion(102s, cleared.front());
  BOOST_TEST(!convicting.IsQuarantined(102s, kPoison));
  BOOST_TEST(convicting.Convictions(102s).empty());
}

// Failure: a popular request became a suspect at each crash, so that crashes at
// the same moment, or one during its trial, put it into quarantine.
BOOST_AUTO_TEST_CASE(RequestCompletedShortlyBeforeIsNoSuspect) {
  CrashHistory gate;
  CrashHistory other;
  gate.RecordCompletion(95s, kPoison);
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const Instant crash = 100s + id * 1s;
    RecordCrash(gate, crash, id);
    for (const auto& report : gate.HeartbeatEntries(crash + 300ms)) {
      other.RecordReportedCrash(crash + 300ms, kReporter, report);
    }
  }
  for (const auto* history : {&gate, &other}) {
    BOOST_TEST(!history->IsQuarantined(104s, kPoison));
    BOOST_TEST(history->Count(104s).suspected == 15U);
  }
  // A completion long before a crash proves nothing.
  for (std::uint64_t id = 4; id <= 6; ++id) {
    RecordCrash(gate, 120s + id * 1s, id);
  }
  BOOST_TEST(gate.IsQuarantined(127s, kPoison));
}

BOOST_AUTO_TEST_CASE(ClearedRequestsAreReportedForSomeSeconds) {
  CrashHistory history;
  history.RecordCompletion(50s, kPoison);
  BOOST_TEST(history.ClearedRequests(50s).empty());
  RecordCrash(history, 100s, 1);
  history.RecordCompletion(101s, kPoison);
  history.RecordCompletion(101s, kPoison);
  BOOST_TEST(history.ClearedRequests(103s).size() == 1U);
  BOOST_TEST(history.ClearedRequests(105s).empty());
}

BOOST_AUTO_TEST_CASE(BrokenExchangesWithoutCrashCauseNoSuspicion) {
  CrashHistory history;
  for (int second = 100; second < 110; ++second) {
    history.RecordBrokenExchange(std::chrono::seconds(second), kPoison);
  }
  BOOST_TEST(!history.IsQuarantined(110s, kPoison));
  BOOST_TEST(history.SuspectCount() == 0U);
  // Exchanges that broke long before a crash are not attributed to it.
  BOOST_TEST(history.RecordLocalCrash(120s, 1).empty());
}

// Failure: the refused connection that shows a crash may be handled before the
// ends of the exchanges, and those were not attributed to it.
BOOST_AUTO_TEST_CASE(ExchangesThatBreakAfterDetectionAreSuspected) {
  CrashHistory local;
  CrashHistory remote;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const Instant crash = 100s + std::chrono::seconds(5 * id);
    local.RecordBrokenExchange(crash, id * 1000);
    BOOST_TEST(local.RecordLocalCrash(crash, id).size() == 1U);
    local.RecordBrokenExchange(crash + 1ms, kPoison);
    // That of a request after the restart.
    local.RecordBrokenExchange(crash + 2s, kPoison + 1);
    for (const auto& report : local.HeartbeatEntries(crash + 100ms)) {
      remote.RecordReportedCrash(crash + 100ms, kReporter, report);
    }
  }
  for (const auto* history : {&local, &remote}) {
    BOOST_TEST(history->IsQuarantined(116s, kPoison));
    BOOST_TEST(!history->IsQuarantined(116s, kPoison + 1));
  }
}

// Failure: a crash of a busy backend server was reported to no node, since its
// report with all requests that were running didn't fit into a heartbeat.
BOOST_AUTO_TEST_CASE(CrashOfBusyServerIsReportedInParts) {
  constexpr std::uint64_t kRunning = 120;
  // What is left of a datagram for crashes, and the size of one fingerprint.
  constexpr std::size_t kMaxBytes = 700;
  constexpr std::size_t kFingerprintBytes = 10;
  // Nodes of other failure domains receive every second heartbeat.
  for (const auto interval : {300ms, 600ms}) {
    CrashHistory local;
    CrashHistory remote;
    for (std::uint64_t id = 1; id <= 3; ++id) {
      const Instant crash = 100s + std::chrono::seconds(5 * id);
      for (std::uint64_t other = 0; other < kRunning; ++other) {
        local.RecordBrokenExchange(crash, id * 1000 + other);
        // Copies of one request are one suspect.
        local.RecordBrokenExchange(crash, kPoison);
      }
      local.RecordLocalCrash(crash, id);
      for (Duration age = 0ms; age <= 2s; age += interval) {
        for (const auto& report : local.HeartbeatEntries(crash + age)) {
          BOOST_TEST(report.fingerprints.size() * kFingerprintBytes <=
                     kMaxBytes);
          remote.RecordReportedCrash(crash + age, kReporter, report);
        }
      }
      BOOST_TEST(remote.Count(crash + 2s).suspected +
                     remote.Count(crash + 2s).quarantined ==
                 id * kRunning + 1);
    }
    BOOST_TEST(remote.IsQuarantined(118s, kPoison));
  }
}

// Failure: at a crash of a very busy server, a request that had been running at
// earlier crashes was left out of the report.
BOOST_AUTO_TEST_CASE(EarlierSuspectsComeFirstInReport) {
  CrashHistory history;
  RecordCrash(history, 100s, 1);
  for (std::uint64_t other = 0; other < 900; ++other) {
    history.RecordBrokenExchange(105s, 9000 + other);
  }
  history.RecordBrokenExchange(105s, kPoison);
  history.RecordLocalCrash(105s, 2);
  RecordCrash(history, 110s, 3);
  BOOST_TEST(history.IsQuarantined(110s, kPoison));
}

BOOST_AUTO_TEST_CASE(QuarantineExpires) {
  CrashHistory history;
  for (std::uint64_t id = 1; id <= 3; ++id) {
    RecordCrash(history, 100s + std::chrono::seconds(id), id);
  }
  BOOST_TEST(history.IsQuarantined(200s, kPoison));
  BOOST_TEST(!history.IsQuarantined(300s, kPoison));
}

BOOST_AUTO_TEST_CASE(ReportsExpireAndSuspectsAreLimited) {
  CrashHistory history;
  RecordCrash(history, 100s, 1);
  BOOST_TEST(history.HeartbeatEntries(101s).size() == 1U);
  BOOST_TEST(history.HeartbeatEntries(103s).empty());
  for (std::uint64_t id = 0; id < 20'000; ++id) {
    history.RecordReportedCrash(104s, kReporter,
                                {.id = id, .fingerprints = {id}});
  }
  BOOST_TEST(history.SuspectCount() <= 8193U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::retries
