#include "libraries/retries/crash_history.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libraries/base/node_hash.h"

namespace agaterun::retries {

namespace {

// A request that was running at this many crashes without a completion is
// assumed to be their cause. Callers retry once or twice, so that a request
// that few send is running at fewer crashes, and one that many send is
// completed meanwhile.
constexpr std::size_t kCrashesToQuarantine = 3;

// Exchanges that broke within this time before or after a crash was detected
// are attributed to it. Backend servers take longer to start again.
constexpr Duration kCrashWindow = 500ms;

// Duration of a quarantine, from the latest crash on.
constexpr Duration kQuarantineDuration = 120s;

// A crash is reported in each heartbeat for this long.
constexpr Duration kReportDuration = 2s;

// Reports of a crash arrive within this time after it. A completion is reported
// for as long, because the report of a crash may arrive after that of a
// completion that followed it.
constexpr Duration kMaxReportAge = 3s;

// A quarantined request may be tried this long after the latest crash, when all
// nodes have received its reports.
constexpr Duration kTrialDelay = 2s;

// Each of the nodes in question may try it for this long.
constexpr Duration kTrialTurn = 5s;

// Maximum number of these nodes. A node that has not received the report of a
// failed trial tries the request once more.
constexpr std::size_t kMaxTrialNodes = 4;

constexpr std::size_t kMaxBrokenExchanges = 1024;
constexpr std::size_t kMaxReportedRequests = 128;

// Requests of a crash in one heartbeat, which has to fit into a datagram, and
// the time until the next ones are reported: nodes of other failure domains
// receive a heartbeat in each such time.
constexpr std::size_t kRequestsPerReport = 64;
constexpr Duration kReportPartTime = 600ms;

constexpr std::size_t kMaxSuspects = 8192;
constexpr std::size_t kMaxCrashesPerSuspect = 32;
constexpr std::size_t kMaxReportersPerSuspect = 4;
constexpr std::size_t kMaxClearedRequests = 32;
constexpr std::size_t kMaxReportedConvictions = 16;

}  // namespace

void CrashHistory::RecordBrokenExchange(Instant now,
                                        std::uint64_t fingerprint) {
  if (!this->local_crashes.empty() &&
      now - this->local_crashes.back().time <= kCrashWindow) {
    this->AttributeExchange(now, fingerprint, this->local_crashes.back());
    return;
  }
  this->broken_exchanges.push_back({.time = now, .fingerprint = fingerprint});
  while (this->broken_exchanges.size() > kMaxBrokenExchanges ||
         now - this->broken_exchanges.front().time > kCrashWindow) {
    this->broken_exchanges.pop_front();
  }
}

std::vector<std::uint64_t> CrashHistory::RecordLocalCrash(
    Instant now,
    std::uint64_t crash_id) {
  this->local_crashes.push_back({.time = now, .report = {.id = crash_id}});
  auto& crash = this->local_crashes.back();
  for (const auto& exchange : this->broken_exchanges) {
    if (now - exchange.time <= kCrashWindow) {
      this->AttributeExchange(now, exchange.fingerprint, crash);
    }
  }
  this->broken_exchanges.clear();
  return crash.report.fingerprints;
}

void CrashHistory::AttributeExchange(Instant now,
                                     std::uint64_t fingerprint,
                                     LocalCrash& crash) {
  if (this->completions.Contains(now, fingerprint)) {
    return;
  }
  auto& fingerprints = crash.report.fingerprints;
  if (std::find(fingerprints.begin(), fingerprints.end(), fingerprint) !=
      fingerprints.end()) {
    return;
  }
  const auto known = this->suspects.find(fingerprint);
  const bool is_suspect = known != this->suspects.end() &&
                          known->second.crashes_since_completion > 0;
  if (!is_suspect && fingerprints.size() >= kMaxReportedRequests) {
    return;
  }
  // Suspects of earlier crashes displace others.
  fingerprints.insert(is_suspect ? fingerprints.begin() : fingerprints.end(),
                      fingerprint);
  fingerprints.resize(std::min(fingerprints.size(), kMaxReportedRequests));
  this->RecordSuspects(now, this->self, crash.report.id, {fingerprint});
}

void CrashHistory::RecordReportedCrash(Instant now,
                                       NodeAddress reporter,
                                       const decision::CrashReport& crash) {
  this->RecordSuspects(now, reporter, crash.id, crash.fingerprints);
}

void CrashHistory::RecordCrash(Instant now,
                               NodeAddress reporter,
                               std::uint64_t fingerprint,
                               Suspect& suspect) {
  // A quarantined request runs only on trial, so this is the crash of its
  // trial, unless its copies crashed several servers at once.
  if (this->IsQuarantined(now, fingerprint) &&
      now - suspect.last_crash > kTrialDelay) {
    this->RecordFailedTrial(fingerprint, suspect);
  }
  suspect.last_crash = now;
  if (suspect.reporters.size() < kMaxReportersPerSuspect) {
    suspect.reporters.insert(reporter);
  }
  suspect.crashes_since_completion += 1;
  if (suspect.crashes_since_completion == kCrashesToQuarantine) {
    this->RecordQuarantine(fingerprint);
  }
}

void CrashHistory::RecordQuarantine(std::uint64_t fingerprint) {
  this->new_quarantines.push_back(fingerprint);
  this->quarantines += 1;
}

void CrashHistory::RecordFailedTrial(std::uint64_t fingerprint,
                                     Suspect& suspect) {
  if (suspect.trial_failed) {
    return;
  }
  suspect.trial_failed = true;
  this->failed_trials.push_back(fingerprint);
  if (this->failed_trials.size() > kMaxReportedConvictions) {
    this->failed_trials.pop_front();
  }
}

void CrashHistory::LimitSuspects(Instant now) {
  if (this->suspects.size() <= kMaxSuspects) {
    return;
  }
  std::erase_if(this->suspects, [&](const auto& item) {
    return now - item.second.last_crash > kQuarantineDuration ||
           item.second.crashes_since_completion < kCrashesToQuarantine;
  });
}

void CrashHistory::RecordSuspects(
    Instant now,
    NodeAddress reporter,
    std::uint64_t crash_id,
    const std::vector<std::uint64_t>& fingerprints) {
  this->LimitSuspects(now);
  for (const auto fingerprint : fingerprints) {
    if (this->completions.Contains(now, fingerprint)) {
      continue;
    }
    auto& suspect = this->suspects[fingerprint];
    if (now - suspect.last_crash > kQuarantineDuration) {
      suspect = {};
    }
    if (now - suspect.last_report > kMaxReportAge) {
      suspect.crashes.clear();
    }
    suspect.last_report = now;
    if (suspect.crashes.size() < kMaxCrashesPerSuspect &&
        suspect.crashes.insert(crash_id).second) {
      this->RecordCrash(now, reporter, fingerprint, suspect);
    }
  }
}

void CrashHistory::RecordCompletion(Instant now, std::uint64_t fingerprint) {
  this->completions.Record(now, fingerprint);
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end() ||
      found->second.crashes_since_completion == 0) {
    return;
  }
  found->second.crashes_since_completion = 0;
  found->second.reporters.clear();
  found->second.trial_failed = false;
  this->cleared += 1;
  this->ReportCleared(now, fingerprint);
}

void CrashHistory::ReportCleared(Instant now, std::uint64_t fingerprint) {
  this->cleared_requests.push_back({.time = now, .fingerprint = fingerprint});
  if (this->cleared_requests.size() > kMaxClearedRequests) {
    this->cleared_requests.pop_front();
  }
}

void CrashHistory::RecordReportedConviction(Instant now,
                                            std::uint64_t fingerprint,
                                            Duration remaining) {
  if (remaining > kQuarantineDuration) {
    return;
  }
  if (this->completions.Contains(now, fingerprint)) {
    const auto is_reported = [&](const ClearedRequest& request) {
      return request.fingerprint == fingerprint &&
             now - request.time <= kMaxReportAge;
    };
    if (std::none_of(this->cleared_requests.begin(),
                     this->cleared_requests.end(), is_reported)) {
      this->ReportCleared(now, fingerprint);
    }
    return;
  }
  this->LimitSuspects(now);
  auto& suspect = this->suspects[fingerprint];
  const bool was_quarantined = this->IsQuarantined(now, fingerprint);
  if (was_quarantined && suspect.trial_failed) {
    return;
  }
  if (!was_quarantined) {
    suspect.trial_failed = false;  // Of an earlier quarantine.
    this->RecordQuarantine(fingerprint);
  }
  this->RecordFailedTrial(fingerprint, suspect);
  suspect.crashes_since_completion =
      std::max(suspect.crashes_since_completion, kCrashesToQuarantine);
  suspect.last_crash =
      std::max(suspect.last_crash, now + remaining - kQuarantineDuration);
}

Duration CrashHistory::ConvictionTime(Instant now,
                                      std::uint64_t fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end() || !found->second.trial_failed) {
    return Duration{};
  }
  return std::max(Duration{},
                  found->second.last_crash + kQuarantineDuration - now);
}

std::vector<CrashHistory::Conviction> CrashHistory::Convictions(Instant now) {
  // Without time left it would be reported as cleared.
  std::erase_if(this->failed_trials, [&](std::uint64_t fingerprint) {
    return this->ConvictionTime(now, fingerprint) == Duration{};
  });
  std::vector<Conviction> convictions;
  for (const auto fingerprint : this->failed_trials) {
    convictions.push_back(
        {.fingerprint = fingerprint,
         .remaining = this->ConvictionTime(now, fingerprint)});
  }
  return convictions;
}

bool CrashHistory::IsQuarantined(Instant now, std::uint64_t fingerprint) const {
  const auto found = this->suspects.find(fingerprint);
  return found != this->suspects.end() &&
         found->second.crashes_since_completion >= kCrashesToQuarantine &&
         now - found->second.last_crash <= kQuarantineDuration;
}

std::vector<NodeAddress> CrashHistory::TrialNodes(
    std::uint64_t fingerprint,
    const Suspect& suspect,
    std::vector<NodeAddress> endpoints) {
  std::sort(endpoints.begin(), endpoints.end());
  std::vector<NodeAddress> nodes;
  std::set_intersection(suspect.reporters.begin(), suspect.reporters.end(),
                        endpoints.begin(), endpoints.end(),
                        std::back_inserter(nodes));
  if (!nodes.empty()) {
    return nodes;
  }
  // The order differs between requests, so that no node tries them all.
  std::sort(endpoints.begin(), endpoints.end(),
            [&](NodeAddress left, NodeAddress right) {
              return NodeHash(left, fingerprint) < NodeHash(right, fingerprint);
            });
  endpoints.resize(std::min(endpoints.size(), kMaxTrialNodes));
  return endpoints;
}

std::optional<NodeAddress> CrashHistory::TrialNode(
    Instant now,
    std::uint64_t fingerprint,
    std::vector<NodeAddress> endpoints) const {
  if (!this->IsQuarantined(now, fingerprint)) {
    return std::nullopt;
  }
  const auto& suspect = this->suspects.at(fingerprint);
  const auto since_crash = now - suspect.last_crash;
  if (suspect.trial_failed || since_crash <= kTrialDelay) {
    return std::nullopt;
  }
  const auto nodes = TrialNodes(fingerprint, suspect, std::move(endpoints));
  if (nodes.empty()) {
    return std::nullopt;
  }
  const auto turn =
      static_cast<std::size_t>((since_crash - kTrialDelay) / kTrialTurn);
  return nodes[turn % nodes.size()];
}

CrashHistory::Counts CrashHistory::Count(Instant now) const {
  Counts counts{.quarantines = this->quarantines, .cleared = this->cleared};
  for (const auto& [fingerprint, suspect] : this->suspects) {
    if (this->IsQuarantined(now, fingerprint)) {
      counts.quarantined += 1;
    } else if (suspect.crashes_since_completion > 0 &&
               now - suspect.last_crash <= kQuarantineDuration) {
      counts.suspected += 1;
    }
  }
  return counts;
}

std::vector<std::uint64_t> CrashHistory::TakeNewQuarantines() {
  return std::exchange(this->new_quarantines, {});
}

std::vector<decision::CrashReport> CrashHistory::HeartbeatEntries(Instant now) {
  while (!this->local_crashes.empty() &&
         now - this->local_crashes.front().time > kReportDuration) {
    this->local_crashes.pop_front();
  }
  std::vector<decision::CrashReport> crashes;
  for (const auto& crash : this->local_crashes) {
    if (!crash.report.fingerprints.empty()) {
      crashes.push_back(ReportPart(now, crash));
    }
  }
  return crashes;
}

decision::CrashReport CrashHistory::ReportPart(Instant now,
                                               const LocalCrash& crash) {
  const auto& all = crash.report.fingerprints;
  const auto parts = (all.size() + kRequestsPerReport - 1) / kRequestsPerReport;
  const auto round =
      static_cast<std::size_t>((now - crash.time) / kReportPartTime);
  const auto begin = round % parts * kRequestsPerReport;
  const auto end = std::min(all.size(), begin + kRequestsPerReport);
  return {.id = crash.report.id,
          .fingerprints = {all.data() + begin, all.data() + end}};
}

std::vector<std::uint64_t> CrashHistory::ClearedRequests(Instant now) {
  while (!this->cleared_requests.empty() &&
         now - this->cleared_requests.front().time > kMaxReportAge) {
    this->cleared_requests.pop_front();
  }
  std::vector<std::uint64_t> fingerprints;
  for (const auto& request : this->cleared_requests) {
    fingerprints.push_back(request.fingerprint);
  }
  return fingerprints;
}

}  // namespace agaterun::retries
