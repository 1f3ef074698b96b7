#ifndef LIBRARIES_DECISION_MECHANISM_H_
#define LIBRARIES_DECISION_MECHANISM_H_

#include <array>
#include <bitset>
#include <cstdint>
#include <initializer_list>

#include "libraries/base/enum_names.h"

namespace agaterun::decision {

// Parts of the decisions that can be switched off, to measure what each is
// worth. Promises that hold at all times are not among them.
enum class Mechanism : std::uint8_t {
  kAdaptiveLimit,     // Off: the limit stays at the published slots.
  kThreshold,         // Off: everything is admitted up to the queue.
  kNewestFirst,       // Off: oldest first, also under load.
  kDisplacement,      // Off: a full queue refuses whatever arrives.
  kFairShares,        // Off: one share takes whatever it asks for.
  kDeadlineCheck,     // Off: work starts although it can't be done in time.
  kConcurrencyLimit,  // Off: every request starts at once.
  kEarlyShedding,     // Off: the entry admits what the path would refuse.
  kRetryAllowance,    // Off: every hop has three tries of its own.
  kRetryRules,        // Off: overload and server errors are retried too.
  kRetryBudget,       // Off: a node retries as often as allowances let it.
  kCancellation,      // Off: deadlines and cancels end at the hop they are at.
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
