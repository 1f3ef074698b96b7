#include "libraries/decision/suspect_table.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr std::size_t kMaxSuspects = 4096;
// Small, because each heartbeat carries all quarantined fingerprints.
constexpr std::size_t kMaxQuarantined = 64;
constexpr std::size_t kMaxBrokenRequests = 4096;

constexpr Duration kSuspectDuration = 120s;
constexpr Duration kQuarantineDuration = 300s;

// Usual maximum time from sending a heartbeat to processing it, late reads
// included.
constexpr Duration kMaxHeartbeatDelay = 2s;

// Requests that broke within this time before a crash was detected may have
// caused it. If a backend server crashed with a single request in flight, the
// crash is detected only when the next connection is refused.
constexpr Duration kCrashDetectionWindow = 1s;

// Requests that break within this time of each other belong to the same crash.
constexpr Duration kSameCrashWindow = 20ms;

}  // namespace

void SuspectTable::ExtendExpiry(Instant now,
                                ExpiryTimes& table,
                                std::size_t capacity,
                                std::uint64_t fingerprint,
                                Instant expiry) {
  auto& entry = table[fingerprint];
  entry = std::max(entry, expiry);
  if (table.size() <= capacity) {
    return;
  }
  std::erase_if(table, [&](const auto& item) { return item.second <= now; });
  if (table.size() > capacity) {
    table.erase(std::min_element(table.begin(), table.end(),
                                 [](const auto& left, const auto& right) {
                                   return left.second < right.second;
                                 }));
  }
}

SuspectTable::Findings SuspectTable::OnBroken(Instant now,
                                              std::uint64_t fingerprint,
                                              bool ran_as_suspect) {
  while (
      !this->broken_requests.empty() &&
      (now - this->broken_requests.front().broke_at > kCrashDetectionWindow ||
       this->broken_requests.size() >= kMaxBrokenRequests)) {
    this->broken_requests.pop_front();
  }
  const bool broke_together =
      !this->broken_requests.empty() &&
      now - this->broken_requests.back().broke_at <= kSameCrashWindow;
  this->broken_requests.push_back({.broke_at = now,
                                   .fingerprint = fingerprint,
                                   .ran_as_suspect = ran_as_suspect});
  if (!broke_together && now >= this->crash_window_end) {
    return {};
  }
  return this->AttributeCrash(now);
}

SuspectTable::Findings SuspectTable::OnBackendDown(Instant now) {
  this->crash_window_end = now + kSameCrashWindow;
  return this->AttributeCrash(now);
}

SuspectTable::Findings SuspectTable::AttributeCrash(Instant now) {
  Findings findings;
  for (const auto& request : this->broken_requests) {
    if (now - request.broke_at > kCrashDetectionWindow) {
      continue;
    }
    if (request.ran_as_suspect) {
      this->suspects.erase(request.fingerprint);
      this->Quarantine(now, request.fingerprint, kQuarantineDuration);
      findings.quarantined.push_back(request.fingerprint);
      continue;
    }
    // Recorded even if a suspect is quarantined for the same crash: that
    // suspect may be harmless, and then one of these requests caused the crash.
    ExtendExpiry(now, this->suspects, kMaxSuspects, request.fingerprint,
                 now + kSuspectDuration);
    findings.suspects.push_back(request.fingerprint);
  }
  this->broken_requests.clear();
  this->crash_window_end = now + kSameCrashWindow;
  return findings;
}

void SuspectTable::OnCompleted(std::uint64_t fingerprint) {
  if (!this->suspects.empty()) {
    this->suspects.erase(fingerprint);
  }
}

void SuspectTable::Quarantine(Instant now,
                              std::uint64_t fingerprint,
                              Duration time) {
  // Peers gossip quarantines with the time that remains. The bound prevents a
  // faulty peer from extending a quarantine forever.
  const Duration bounded = std::min(time, kQuarantineDuration);
  const auto known = this->quarantined.find(fingerprint);
  // The delay of a heartbeat adds to the remaining time that a peer reports.
  // Without this margin, nodes that report the same quarantine to each other
  // would extend it with every round.
  if (bounded <= Duration{} ||
      (known != this->quarantined.end() &&
       now + bounded < known->second + kMaxHeartbeatDelay)) {
    return;
  }
  ExtendExpiry(now, this->quarantined, kMaxQuarantined, fingerprint,
               now + bounded);
}

bool SuspectTable::IsSuspect(Instant now, std::uint64_t fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() && now < found->second;
}

bool SuspectTable::IsQuarantined(Instant now, std::uint64_t fingerprint) const {
  const auto found = this->quarantined.find(fingerprint);
  return found != this->quarantined.end() && now < found->second;
}

std::vector<std::pair<std::uint64_t, Duration>>
SuspectTable::QuarantinedFingerprints(Instant now) const {
  std::vector<std::pair<std::uint64_t, Duration>> list;
  for (const auto& [fingerprint, expiry] : this->quarantined) {
    if (now < expiry) {
      list.emplace_back(fingerprint, expiry - now);
    }
  }
  return list;
}

}  // namespace agaterun::decision
