#include "libraries/decision/retry_rule.h"

namespace agaterun::decision {

RetryRule RuleForRefusal(Reason reason) {
  switch (reason) {
    case Reason::kOverloaded:
    case Reason::kLimitReached:
    case Reason::kBackendRejected:
      // One endpoint may be overloaded while another is idle. More than one
      // retry would add load to a service that is already shedding it.
      return RetryRule::kOnceWithCapacity;
    case Reason::kLeaving:
    case Reason::kUnreachable:
    case Reason::kBackendDown:
    case Reason::kWaitingForState:
      // These reasons concern one endpoint, not the whole service.
      return RetryRule::kOtherEndpoint;
    case Reason::kNone:
    case Reason::kExhausted:
    case Reason::kDeadlineExceeded:
    case Reason::kBackendFailed:
    case Reason::kConnectionLost:
    case Reason::kNoSuchService:
    case Reason::kNoSuchRoute:
    case Reason::kBindingRequired:
    case Reason::kBindingLost:
    case Reason::kBindingFenced:
    case Reason::kInProgress:
    case Reason::kSuspect:
    case Reason::kQuarantined:
    case Reason::kCancelled:
    case Reason::kMalformed:
    case Reason::kUnknownKey:
    case Reason::kQuotaExceeded:
      return RetryRule::kNever;
  }
  return RetryRule::kNever;
}

}  // namespace agaterun::decision
