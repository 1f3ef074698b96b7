#ifndef LIBRARIES_RETRIES_RECENT_COMPLETIONS_H_
#define LIBRARIES_RETRIES_RECENT_COMPLETIONS_H_

#include <cstdint>
#include <unordered_set>

#include "libraries/base/time.h"

namespace agaterun::retries {

// Fingerprints of requests that backend servers have completed recently. Keeps
// each for 10 to 20 seconds, less under a high rate of different requests.
class RecentCompletions {
 public:
  void Record(Instant now, std::uint64_t fingerprint);
  bool Contains(Instant now, std::uint64_t fingerprint) const;

 private:
  std::unordered_set<std::uint64_t> current;
  std::unordered_set<std::uint64_t> previous;
  Instant current_since{};
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_RECENT_COMPLETIONS_H_
