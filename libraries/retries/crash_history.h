#ifndef LIBRARIES_RETRIES_CRASH_HISTORY_H_
#define LIBRARIES_RETRIES_CRASH_HISTORY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"
#include "libraries/retries/recent_completions.h"

namespace agaterun::retries {

// History of backend server crashes and of the requests that were running at
// the time. A request that was running at several crashes, of the same or of
// different servers, and that no backend server has completed meanwhile or
// shortly before, is assumed to cause them and is quarantined: all nodes refuse
// it for some time. It is tried once in that time, since servers also crash
// together for another reason. Nodes report crashes and completions of suspects
// to each other.
class CrashHistory {
 public:
  // `self` is the address of this node.
  explicit CrashHistory(NodeAddress self = {}) : self(self) {}

  NodeAddress Self() const { return this->self; }

  // Records that a backend server closed the connection during an exchange with
  // this request. That alone proves nothing, unless it happens shortly before
  // or after a crash is detected.
  void RecordBrokenExchange(Instant now, std::uint64_t fingerprint);

  // Records a crash of the local backend server, which has stopped accepting
  // connections. The caller draws `crash_id` at random. Returns the
  // fingerprints of the requests that are known to have been running.
  std::vector<std::uint64_t> RecordLocalCrash(Instant now,
                                              std::uint64_t crash_id);

  // Records a crash of the backend server on the host of `reporter`, which has
  // reported it.
  void RecordReportedCrash(Instant now,
                           NodeAddress reporter,
                           const decision::CrashReport& crash);

  // Records that a backend server has completed the request without a failure,
  // as this node or another one has observed. That clears it of suspicion.
  void RecordCompletion(Instant now, std::uint64_t fingerprint);

  // Records that another node has found the trial of the request to have
  // failed, and refuses it for this long. Has no effect if it is known here, or
  // if the request was completed recently, which is then reported as cleared.
  void RecordReportedConviction(Instant now,
                                std::uint64_t fingerprint,
                                Duration remaining);

  // True while the request is quarantined.
  bool IsQuarantined(Instant now, std::uint64_t fingerprint) const;

  // The node that may run the quarantined request now, one copy at a time. A
  // completion ends the quarantine; after another crash no node runs it until
  // the quarantine expires. `endpoints` are the nodes that have a listed
  // backend server of the service. Those whose servers crashed take turns,
  // since some of these may not come back; a few others if none of them is
  // listed any more. Returns nullopt if no node may run it now, and for
  // requests that aren't quarantined.
  std::optional<NodeAddress> TrialNode(
      Instant now,
      std::uint64_t fingerprint,
      std::vector<NodeAddress> endpoints) const;

  // Recent crashes of the local backend server, to be reported in heartbeats.
  std::vector<decision::CrashReport> HeartbeatEntries(Instant now);

  // Requests that were recently cleared of suspicion here, to be reported in
  // heartbeats.
  std::vector<std::uint64_t> ClearedRequests(Instant now);

  // Requests whose trial has failed, and how long they are still refused, to be
  // reported in heartbeats: a crash is reported to a part of a large fleet, and
  // processes that start know of none.
  struct Conviction {
    std::uint64_t fingerprint = 0;
    Duration remaining{};
  };
  std::vector<Conviction> Convictions(Instant now);

  // Number of requests that were running at a recent crash.
  std::size_t SuspectCount() const { return this->suspects.size(); }

  struct Counts {
    std::size_t suspected = 0;  // Now, without those in quarantine.
    std::size_t quarantined = 0;
    std::uint64_t quarantines = 0;  // Since the start of the process.
    std::uint64_t cleared = 0;      // Suspects cleared since then.
  };
  Counts Count(Instant now) const;

  // Requests that were quarantined since the last call.
  std::vector<std::uint64_t> TakeNewQuarantines();

 private:
  struct BrokenExchange {
    Instant time{};
    std::uint64_t fingerprint = 0;
  };
  struct Suspect {
    // Ids of the crashes, also of those before the last completion, since
    // reports of these may still arrive.
    std::set<std::uint64_t> crashes;
    std::size_t crashes_since_completion = 0;
    std::set<NodeAddress> reporters;  // Nodes of the servers that crashed.
    bool trial_failed = false;
    Instant last_crash{};
    Instant last_report{};
  };
  struct ClearedRequest {
    Instant time{};
    std::uint64_t fingerprint = 0;
  };
  struct LocalCrash {
    Instant time{};
    decision::CrashReport report;
  };

  // The nodes that take turns, in an order that is the same at all nodes.
  static std::vector<NodeAddress> TrialNodes(
      std::uint64_t fingerprint,
      const Suspect& suspect,
      std::vector<NodeAddress> endpoints);
  // Time for which the request is still refused; zero if no trial has failed.
  Duration ConvictionTime(Instant now, std::uint64_t fingerprint) const;
  void ReportCleared(Instant now, std::uint64_t fingerprint);
  // The requests of the crash that are reported now.
  static decision::CrashReport ReportPart(Instant now, const LocalCrash& crash);
  void AttributeExchange(Instant now,
                         std::uint64_t fingerprint,
                         LocalCrash& crash);
  void RecordFailedTrial(std::uint64_t fingerprint, Suspect& suspect);
  void RecordQuarantine(std::uint64_t fingerprint);
  void RecordCrash(Instant now,
                   NodeAddress reporter,
                   std::uint64_t fingerprint,
                   Suspect& suspect);
  // Drops the least important suspects if there are too many.
  void LimitSuspects(Instant now);
  void RecordSuspects(Instant now,
                      NodeAddress reporter,
                      std::uint64_t crash_id,
                      const std::vector<std::uint64_t>& fingerprints);

  NodeAddress self;
  RecentCompletions completions;
  std::deque<BrokenExchange> broken_exchanges;
  std::deque<LocalCrash> local_crashes;
  std::deque<ClearedRequest> cleared_requests;
  std::unordered_map<std::uint64_t, Suspect> suspects;
  std::deque<std::uint64_t> failed_trials;  // Fingerprints, latest last.
  std::vector<std::uint64_t> new_quarantines;
  std::uint64_t quarantines = 0;
  std::uint64_t cleared = 0;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_CRASH_HISTORY_H_
