#include "libraries/decision/suspect_table.h"

#include <boost/test/unit_test.hpp>
#include <deque>

#include "tests/decision/gate_harness.h"

namespace agaterun::decision {

namespace {

constexpr std::uint64_t kCrashingFingerprint = 4242;
constexpr int kEndpoints = 4;
constexpr int kHarmlessRequests = 80;

// Endpoints of one failure domain, each with harmless requests in flight. The
// crashing request crashes every backend server that runs it.
class CrashingDomain {
 public:
  CrashingDomain() {
    for (int index = 0; index < kEndpoints; ++index) {
      this->endpoints.emplace_back(GateHarness::Options{
          .slots = 100, .seed = static_cast<std::uint64_t>(index) + 1});
    }
  }

  // Sends the crashing request to one endpoint together with harmless requests.
  // Returns true if it ran and crashed the backend server.
  bool SendCrashingRequest(std::size_t index, Instant now) {
    auto& harness = this->endpoints[index];
    harness.AdvanceTo(now);
    harness.gate.OnBackendReachable(now, {.reachable = true}, harness.actions);
    std::vector<AttemptId> running;
    for (int count = 0; count < kHarmlessRequests; ++count) {
      auto harmless = harness.Request();
      harmless.fingerprint = ++this->last_harmless_fingerprint;
      running.push_back(harness.Arrive(harmless));
    }
    auto crashing = harness.Request();
    crashing.fingerprint = kCrashingFingerprint;
    harness.Arrive(crashing);
    const auto started = harness.FindStartedVisit(crashing.attempt);
    running.push_back(crashing.attempt);
    for (const auto& attempt : running) {
      if (const auto visit = harness.FindStartedVisit(attempt); visit) {
        this->lost_harmless_requests +=
            started && attempt != crashing.attempt ? 1 : 0;
        if (started) {
          harness.FailBackend(*visit, BackendFailure::kBroken);
        } else {
          harness.Answer(*visit);
        }
      }
    }
    this->crashes += started ? 1 : 0;
    harness.actions.clear();
    return started.has_value();
  }

  // Every endpoint reports its quarantined fingerprints to the others.
  void ShareQuarantine(Instant now) {
    for (const auto& from : this->endpoints) {
      for (auto& to : this->endpoints) {
        to.gate.OnQuarantined(now, from.gate.QuarantinedFingerprints(now));
      }
    }
  }

  GateHarness& At(std::size_t index) { return this->endpoints[index]; }
  int Crashes() const { return this->crashes; }
  int LostHarmlessRequests() const { return this->lost_harmless_requests; }

 private:
  std::deque<GateHarness> endpoints;
  std::uint64_t last_harmless_fingerprint = 100000;
  int crashes = 0;
  int lost_harmless_requests = 0;  // Harmless requests whose connection broke.
};

}  // namespace

BOOST_AUTO_TEST_SUITE(SuspectTableTest)

BOOST_AUTO_TEST_CASE(QuarantineFollowsOneCrashPerEndpointAndOneMore) {
  // A caller resends immediately through a different node each time. Heartbeats
  // exchange quarantines between any two of its requests.
  CrashingDomain domain;
  for (int attempt = 0; attempt < 100; ++attempt) {
    const Instant now = 1s + attempt * 10ms;
    domain.SendCrashingRequest(static_cast<std::size_t>(attempt) % kEndpoints,
                               now);
    domain.ShareQuarantine(now);
  }
  BOOST_TEST(domain.Crashes() == kEndpoints + 1);
  BOOST_TEST(domain.LostHarmlessRequests() ==
             domain.Crashes() * kHarmlessRequests);
}

BOOST_AUTO_TEST_CASE(WithoutHeartbeatsEachEndpointCrashesTwice) {
  CrashingDomain domain;
  for (int attempt = 0; attempt < 100; ++attempt) {
    domain.SendCrashingRequest(static_cast<std::size_t>(attempt) % kEndpoints,
                               1s + attempt * 10ms);
  }
  BOOST_TEST(domain.Crashes() == 2 * kEndpoints);
}

BOOST_AUTO_TEST_CASE(QuarantineExpires) {
  CrashingDomain domain;
  domain.SendCrashingRequest(0, 1s);
  domain.SendCrashingRequest(0, 2s);
  BOOST_TEST(!domain.SendCrashingRequest(0, 3s));
  BOOST_TEST(domain.At(0).gate.QuarantinedFingerprints(3s).size() == 1U);
  BOOST_TEST(domain.SendCrashingRequest(0, 303s));
}

BOOST_AUTO_TEST_CASE(OneSuspectRunsAtATimeAndCompletionClearsIt) {
  GateHarness harness({.slots = 10});
  std::vector<AttemptId> running;
  for (std::uint64_t fingerprint = 1; fingerprint <= 3; ++fingerprint) {
    auto request = harness.Request();
    request.fingerprint = fingerprint;
    running.push_back(harness.Arrive(request));
  }
  for (const auto& attempt : running) {
    harness.FailBackend(*harness.FindStartedVisit(attempt),
                        BackendFailure::kBroken);
  }
  const auto send = [&](std::uint64_t fingerprint) {
    auto request = harness.Request();
    request.fingerprint = fingerprint;
    return harness.Arrive(request);
  };
  const auto alone = send(1);
  const auto second = send(2);
  BOOST_TEST(harness.FindStartedVisit(alone).has_value());
  BOOST_TEST((harness.FindReply(second)->reason == Reason::kSuspect));
  BOOST_TEST(harness.FindStartedVisit(send(9)).has_value());
  harness.Answer(*harness.FindStartedVisit(alone));
  // The complete response cleared the request, so it no longer counts as a
  // suspect.
  BOOST_TEST(harness.FindStartedVisit(send(1)).has_value());
  BOOST_TEST(harness.FindStartedVisit(send(2)).has_value());
}

BOOST_AUTO_TEST_CASE(LoneBrokenRequestIsSuspectOnlyIfBackendServerIsDown) {
  for (const bool backend_down : {true, false}) {
    SuspectTable table;
    table.OnBroken(1s, 7, false);
    if (backend_down) {
      table.OnBackendDown(1100ms);
    }
    BOOST_TEST(table.IsSuspect(1200ms, 7) == backend_down);
  }
}

BOOST_AUTO_TEST_CASE(TablesAreBounded) {
  SuspectTable table;
  for (std::uint64_t fingerprint = 0; fingerprint < 10000; ++fingerprint) {
    table.OnBroken(1s, fingerprint, fingerprint % 64 == 0);
  }
  BOOST_TEST(table.Size() <= 4096U + 64U);
}

BOOST_AUTO_TEST_CASE(GossipDoesNotExtendQuarantine) {
  SuspectTable left;
  SuspectTable right;
  left.Quarantine(0s, 7, 300s);
  for (Instant now = 0s; now < 400s; now += 500ms) {
    for (const auto& [fingerprint, time] : left.QuarantinedFingerprints(now)) {
      right.Quarantine(now + 100ms, fingerprint, time);
    }
    for (const auto& [fingerprint, time] :
         right.QuarantinedFingerprints(now + 100ms)) {
      left.Quarantine(now + 200ms, fingerprint, time);
    }
  }
  BOOST_TEST(!left.IsQuarantined(301s, 7));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
