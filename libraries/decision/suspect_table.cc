#include "libraries/decision/suspect_table.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr std::size_t kSuspectCapacity = 4096;
// Small, since heartbeats carry all of them.
constexpr std::size_t kConvictedCapacity = 64;
constexpr std::size_t kBrokenCapacity = 4096;

constexpr Duration kSuspectTime = 120s;
constexpr Duration kConvictedTime = 300s;

// Longest usual way of a heartbeat, late reading included.
constexpr Duration kOnTheWay = 2s;

// A backend server that died alone with one request is noticed when the next
// connection is refused.
constexpr Duration kCrashWindow = 1s;

// Requests that break within this time of each other broke together.
constexpr Duration kTogether = 20ms;

}  // namespace

void SuspectTable::Record(Instant now,
                          Forgiven& table,
                          std::size_t capacity,
                          std::uint64_t fingerprint,
                          Instant forgiven) {
  auto& entry = table[fingerprint];
  entry = std::max(entry, forgiven);
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
  while (!this->broken.empty() &&
         (now - this->broken.front().at > kCrashWindow ||
          this->broken.size() >= kBrokenCapacity)) {
    this->broken.pop_front();
  }
  const bool together =
      !this->broken.empty() && now - this->broken.back().at <= kTogether;
  this->broken.push_back({.at = now,
                          .fingerprint = fingerprint,
                          .ran_as_suspect = ran_as_suspect});
  if (!together && now >= this->crashed_until) {
    return {};
  }
  return this->Judge(now);
}

SuspectTable::Findings SuspectTable::OnBackendDown(Instant now) {
  this->crashed_until = now + kTogether;
  return this->Judge(now);
}

SuspectTable::Findings SuspectTable::Judge(Instant now) {
  Findings findings;
  for (const auto& request : this->broken) {
    if (now - request.at > kCrashWindow) {
      continue;
    }
    if (request.ran_as_suspect) {
      this->suspects.erase(request.fingerprint);
      this->Convict(now, request.fingerprint, kConvictedTime);
      findings.quarantined.push_back(request.fingerprint);
      continue;
    }
    // Also beside a conviction: the convicted one may be innocent, and then
    // one of these did it.
    Record(now, this->suspects, kSuspectCapacity, request.fingerprint,
           now + kSuspectTime);
    findings.suspects.push_back(request.fingerprint);
  }
  this->broken.clear();
  this->crashed_until = now + kTogether;
  return findings;
}

void SuspectTable::OnCompleted(std::uint64_t fingerprint) {
  if (!this->suspects.empty()) {
    this->suspects.erase(fingerprint);
  }
}

void SuspectTable::Convict(Instant now,
                           std::uint64_t fingerprint,
                           Duration time) {
  // Peers repeat what they heard, with the time that is left. The bound keeps
  // a faulty peer from making it last for ever.
  const Duration bounded = std::min(time, kConvictedTime);
  const auto known = this->quarantined.find(fingerprint);
  // Time on the way adds to what a peer says. Nodes that tell each other the
  // same conviction would else prolong it round by round.
  if (bounded <= Duration{} || (known != this->quarantined.end() &&
                                now + bounded < known->second + kOnTheWay)) {
    return;
  }
  Record(now, this->quarantined, kConvictedCapacity, fingerprint, now + bounded);
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
  for (const auto& [fingerprint, forgiven] : this->quarantined) {
    if (now < forgiven) {
      list.emplace_back(fingerprint, forgiven - now);
    }
  }
  return list;
}

}  // namespace agaterun::decision
