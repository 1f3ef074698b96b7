#ifndef LIBRARIES_RETRIES_CRASH_HISTORY_H_
#define LIBRARIES_RETRIES_CRASH_HISTORY_H_

#include <cstdint>
#include <deque>
#include <set>
#include <unordered_map>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/events.h"

namespace agaterun::retries {

// Crashes of backend servers and the requests that were there. A request that
// was there at several crashes, of whatever servers, is what crashes them and
// is refused by all nodes for a time. Nodes tell each other of crashes.
class CrashHistory {
 public:
  // A backend server broke off an exchange with this request. Single ones tell
  // nothing; many at once, or one before a crash, do.
  void RecordBrokenExchange(Instant now, std::uint64_t fingerprint);

  // The local backend server takes no connections any more. `crash_id` is
  // drawn at random by the caller. Returns the requests that were there.
  std::vector<std::uint64_t> RecordLocalCrash(Instant now,
                                              std::uint64_t crash_id);

  // Another node told of a crash.
  void RecordReportedCrash(Instant now, const decision::CrashReport& crash);

  // The request ran to an end somewhere here.
  void RecordCompletion(std::uint64_t fingerprint);

  bool IsQuarantined(Instant now, std::uint64_t fingerprint) const;

  // Crashes of the local backend server that others are still to be told of.
  std::vector<decision::CrashReport> HeartbeatEntries(Instant now);

  std::size_t Size() const { return this->suspects.size(); }

 private:
  struct Broken {
    Instant at{};
    std::uint64_t fingerprint = 0;
  };
  struct Suspect {
    std::set<std::uint64_t> crashes;  // By id.
    Instant last{};
  };
  struct OwnCrash {
    Instant at{};
    decision::CrashReport told;
  };

  void Record(Instant now,
              std::uint64_t crash_id,
              const std::vector<std::uint64_t>& fingerprints);

  std::deque<Broken> broken;
  std::deque<OwnCrash> own;
  std::unordered_map<std::uint64_t, Suspect> suspects;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_CRASH_HISTORY_H_
