#include "libraries/retries/crash_history.h"

#include <algorithm>

namespace agaterun::retries {

namespace {

// A request that was running at this many crashes is assumed to be their cause.
// Callers retry once or twice, so that a harmless request is running at fewer
// crashes.
constexpr std::size_t kCrashesToConvict = 3;

// Exchanges that broke within this time before a crash was detected are
// attributed to it.
constexpr Duration kCrashWindow = 500ms;

// Duration of a quarantine, from the latest crash on.
constexpr Duration kRemembered = 120s;

// A crash is reported in each heartbeat for this long.
constexpr Duration kTold = 2s;

constexpr std::size_t kMostBroken = 1024;
constexpr std::size_t kMostToldRequests = 128;
constexpr std::size_t kMostSuspects = 8192;

}  // namespace

void CrashHistory::RecordBrokenExchange(Instant now, std::uint64_t fingerprint) {
  this->broken.push_back({.at = now, .fingerprint = fingerprint});
  while (this->broken.size() > kMostBroken ||
         now - this->broken.front().at > kCrashWindow) {
    this->broken.pop_front();
  }
}

std::vector<std::uint64_t> CrashHistory::RecordLocalCrash(Instant now,
                                                  std::uint64_t crash_id) {
  decision::CrashReport crash{.id = crash_id};
  for (const auto& request : this->broken) {
    if (now - request.at <= kCrashWindow &&
        crash.fingerprints.size() < kMostToldRequests) {
      crash.fingerprints.push_back(request.fingerprint);
    }
  }
  this->broken.clear();
  if (crash.fingerprints.empty()) {
    return {};
  }
  this->Record(now, crash.id, crash.fingerprints);
  this->own.push_back({.at = now, .told = crash});
  return crash.fingerprints;
}

void CrashHistory::RecordReportedCrash(Instant now, const decision::CrashReport& crash) {
  this->Record(now, crash.id, crash.fingerprints);
}

void CrashHistory::Record(Instant now,
                         std::uint64_t crash_id,
                         const std::vector<std::uint64_t>& fingerprints) {
  if (this->suspects.size() > kMostSuspects) {
    std::erase_if(this->suspects, [&](const auto& item) {
      return now - item.second.last > kRemembered ||
             item.second.crashes.size() < kCrashesToConvict;
    });
  }
  for (const auto fingerprint : fingerprints) {
    auto& suspect = this->suspects[fingerprint];
    if (now - suspect.last > kRemembered) {
      suspect.crashes.clear();
    }
    suspect.last = now;
    if (suspect.crashes.size() < kCrashesToConvict) {
      suspect.crashes.insert(crash_id);
    }
  }
}

void CrashHistory::RecordCompletion(std::uint64_t fingerprint) {
  if (!this->suspects.empty()) {
    this->suspects.erase(fingerprint);
  }
}

bool CrashHistory::IsQuarantined(Instant now, std::uint64_t fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() &&
         found->second.crashes.size() >= kCrashesToConvict &&
         now - found->second.last <= kRemembered;
}

std::vector<decision::CrashReport> CrashHistory::HeartbeatEntries(Instant now) {
  while (!this->own.empty() && now - this->own.front().at > kTold) {
    this->own.pop_front();
  }
  std::vector<decision::CrashReport> crashes;
  for (const auto& crash : this->own) {
    crashes.push_back(crash.told);
  }
  return crashes;
}

}  // namespace agaterun::retries
