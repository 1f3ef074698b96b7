#ifndef LIBRARIES_DECISION_SUSPECT_TABLE_H_
#define LIBRARIES_DECISION_SUSPECT_TABLE_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/time.h"

namespace agaterun::decision {

// Fingerprints of requests that may crash backend servers. Requests in flight
// at a crash become suspects. A suspect is quarantined if the next crash
// happens while it runs as the only suspect. Both tables are bounded; at the
// bound the entry that would expire first is removed.
class SuspectTable {
 public:
  // Fingerprints that a crash turned into suspects or put into quarantine.
  struct Findings {
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> quarantined;
  };

  // The connection of a running request broke. `ran_as_suspect` is set if the
  // request was a suspect when it started. A crash is detected when several
  // requests break together, or by OnBackendDown.
  Findings OnBroken(Instant now,
                    std::uint64_t fingerprint,
                    bool ran_as_suspect);

  // The backend server no longer accepts connections.
  Findings OnBackendDown(Instant now);

  // The backend server sent a complete response to this request.
  void OnCompleted(std::uint64_t fingerprint);

  // Another node quarantined the fingerprint; `time` remains until its
  // quarantine expires.
  void Quarantine(Instant now, std::uint64_t fingerprint, Duration time);

  bool IsSuspect(Instant now, std::uint64_t fingerprint) const;
  bool IsQuarantined(Instant now, std::uint64_t fingerprint) const;

  // Quarantined fingerprints, each with the time until its quarantine expires.
  std::vector<std::pair<std::uint64_t, Duration>> QuarantinedFingerprints(
      Instant now) const;

  std::size_t Size() const {
    return this->suspects.size() + this->quarantined.size();
  }

 private:
  using ExpiryTimes = std::unordered_map<std::uint64_t, Instant>;

  struct BrokenRequest {
    Instant broke_at{};
    std::uint64_t fingerprint = 0;
    bool ran_as_suspect = false;
  };

  Findings AttributeCrash(Instant now);
  static void ExtendExpiry(Instant now,
                           ExpiryTimes& table,
                           std::size_t capacity,
                           std::uint64_t fingerprint,
                           Instant expiry);

  ExpiryTimes suspects;
  ExpiryTimes quarantined;
  std::deque<BrokenRequest> broken_requests;  // Recent ones, oldest first.
  // Requests that break before this instant belong to the last crash.
  Instant crash_window_end{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_SUSPECT_TABLE_H_
