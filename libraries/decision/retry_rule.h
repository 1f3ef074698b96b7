#ifndef LIBRARIES_DECISION_RETRY_RULE_H_
#define LIBRARIES_DECISION_RETRY_RULE_H_

#include <cstdint>

#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// Whether the origin that receives a refusal may retry the attempt.
enum class RetryRule : std::uint8_t {
  kNever,
  // Once, at an endpoint that is assumed to have capacity.
  kOnceWithCapacity,
  // At another endpoint, as long as the retry allowance lasts.
  kOtherEndpoint,
};

// The rule for an attempt that was not run for `reason`.
RetryRule RuleForRefusal(Reason reason);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_RETRY_RULE_H_
