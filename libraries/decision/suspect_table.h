#ifndef LIBRARIES_DECISION_SUSPECT_TABLE_H_
#define LIBRARIES_DECISION_SUSPECT_TABLE_H_

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libraries/base/time.h"

namespace agaterun::decision {

// Fingerprints of requests that may crash backend servers. Those in flight at
// a crash are suspects; a suspect that runs alone among suspects while the
// next crash happens is convicted. Bounded; at the bound the one that would be
// forgiven first is forgiven at once.
class SuspectTable {
 public:
  // Fingerprints that a crash made suspects or convicted.
  struct Findings {
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> quarantined;
  };

  // A running request broke off. `ran_as_suspect` when it was a suspect as it
  // was started. Crashes are told by several at once or by OnBackendDown.
  Findings OnBroken(Instant now,
                    std::uint64_t fingerprint,
                    bool ran_as_suspect);

  // The backend server takes no connections any more.
  Findings OnBackendDown(Instant now);

  // It gave a whole answer to this request.
  void OnCompleted(std::uint64_t fingerprint);

  // Another node convicted it; `time` is left until it is forgiven.
  void Quarantine(Instant now, std::uint64_t fingerprint, Duration time);

  bool IsSuspect(Instant now, std::uint64_t fingerprint) const;
  bool IsQuarantined(Instant now, std::uint64_t fingerprint) const;

  // Convicted fingerprints with the time until each is forgiven.
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
  std::deque<BrokenRequest> broken_requests;  // Lately, oldest first.
  Instant crash_window_end{};  // What breaks before then belongs to a crash.
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_SUSPECT_TABLE_H_
