#ifndef LIBRARIES_RETRIES_CRASH_LEDGER_H_
#define LIBRARIES_RETRIES_CRASH_LEDGER_H_

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
class CrashLedger {
 public:
  // A backend server broke off an exchange with this request. Single ones tell
  // nothing; many at once, or one before a crash, do.
  void NoteBroken(Instant now, std::uint64_t fingerprint);

  // The local backend server takes no connections any more. `crash_id` is
  // drawn at random by the caller. Returns the requests that were there.
  std::vector<std::uint64_t> NoteCrash(Instant now, std::uint64_t crash_id);

  // Another node told of a crash.
  void NoteToldCrash(Instant now, const decision::ToldCrash& crash);

  // The request ran to an end somewhere here.
  void NoteCompleted(std::uint64_t fingerprint);

  bool IsQuarantined(Instant now, std::uint64_t fingerprint) const;

  // Crashes of the local backend server that others are still to be told of.
  std::vector<decision::ToldCrash> ToTell(Instant now);

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
    decision::ToldCrash told;
  };

  void Record(Instant now,
              std::uint64_t crash_id,
              const std::vector<std::uint64_t>& fingerprints);

  std::deque<Broken> broken;
  std::deque<OwnCrash> own;
  std::unordered_map<std::uint64_t, Suspect> suspects;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_CRASH_LEDGER_H_
