#ifndef LIBRARIES_DECISION_MECHANISM_H_
#define LIBRARIES_DECISION_MECHANISM_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <initializer_list>

#include "libraries/base/enum_names.h"

namespace agaterun::decision {

// Decision mechanisms that can be disabled, to measure the value of each.
// Mechanisms behind guarantees that always hold are not among them.
enum class Mechanism : std::uint8_t {
  kAdaptiveLimit,     // Off: the limit stays at the published slots.
  kThreshold,         // Off: only the queue limits what is admitted.
  kNewestFirst,       // Off: the oldest request goes first, also under load.
  kDisplacement,      // Off: a full queue refuses every new request.
  kFairShares,        // Off: one share can use all of the capacity.
  kDeadlineCheck,     // Off: work starts even if its deadline can't be met.
  kConcurrencyLimit,  // Off: every request starts immediately.
  kEarlyShedding,     // Off: the origin admits what its path would refuse.
  kRetryAllowance,    // Off: every hop may send three attempts of its own.
  kRetryRules,        // Off: overload and server errors are retried too.
  kRetryBudget,       // Off: only retry allowances limit a node's retries.
  kCancellation,      // Off: deadlines and cancellations aren't propagated.
};

inline constexpr std::size_t kMechanismCount = 12;

inline constexpr std::array kMechanismNames = {
    EnumName<Mechanism>{Mechanism::kAdaptiveLimit, "adaptive-limit"},
    EnumName<Mechanism>{Mechanism::kThreshold, "threshold"},
    EnumName<Mechanism>{Mechanism::kNewestFirst, "newest-first"},
    EnumName<Mechanism>{Mechanism::kDisplacement, "displacement"},
    EnumName<Mechanism>{Mechanism::kFairShares, "fair-shares"},
    EnumName<Mechanism>{Mechanism::kDeadlineCheck, "deadline-check"},
    EnumName<Mechanism>{Mechanism::kConcurrencyLimit, "concurrency-limit"},
    EnumName<Mechanism>{Mechanism::kEarlyShedding, "early-shedding"},
    EnumName<Mechanism>{Mechanism::kRetryAllowance, "retry-allowance"},
    EnumName<Mechanism>{Mechanism::kRetryRules, "retry-rules"},
    EnumName<Mechanism>{Mechanism::kRetryBudget, "retry-budget"},
    EnumName<Mechanism>{Mechanism::kCancellation, "cancellation"},
};

// A set of mechanisms.
class MechanismSet {
 public:
  MechanismSet() = default;
  MechanismSet(std::initializer_list<Mechanism> mechanisms) {
    for (const auto mechanism : mechanisms) {
      this->bits.set(static_cast<std::size_t>(mechanism));
    }
  }

  void Add(Mechanism mechanism) {
    this->bits.set(static_cast<std::size_t>(mechanism));
  }

  bool Has(Mechanism mechanism) const {
    return this->bits.test(static_cast<std::size_t>(mechanism));
  }

 private:
  std::bitset<kMechanismCount> bits;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_MECHANISM_H_
