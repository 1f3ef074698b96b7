#ifndef LIBRARIES_MEMBERSHIP_REVISION_H_
#define LIBRARIES_MEMBERSHIP_REVISION_H_

#include <cstdint>

#include "libraries/base/time.h"

namespace agaterun::membership {

// A revision of the platform's service is the number of a change. A service
// that is restored from a copy gives out numbers again, so revisions also hold
// how often it was restored, its era, in the upper bits. They are ordered by
// time across restores. In the first era a revision equals its number.
inline constexpr int kRevisionNumberBits = 40;
inline constexpr std::uint64_t kMaxRevisionNumber =
    (std::uint64_t{1} << kRevisionNumberBits) - 1;
inline constexpr std::uint64_t kMaxEra =
    (std::uint64_t{1} << (64 - kRevisionNumberBits)) - 1;

// `era` is at most kMaxEra and `number` at most kMaxRevisionNumber.
constexpr std::uint64_t MakeRevision(std::uint64_t era, std::uint64_t number) {
  return era << kRevisionNumberBits | number;
}

constexpr std::uint64_t EraOf(std::uint64_t revision) {
  return revision >> kRevisionNumberBits;
}

constexpr std::uint64_t NumberInEra(std::uint64_t revision) {
  return revision & kMaxRevisionNumber;
}

// After a restore, endpoints that the copy lacks or lists in an earlier state
// have registered again within this time. It is shorter than the time after
// which the service counts as stable.
inline constexpr Duration kReregistrationTime = 2500ms;

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_REVISION_H_
