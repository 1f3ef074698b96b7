#ifndef LIBRARIES_CALLS_ERROR_RESPONSE_H_
#define LIBRARIES_CALLS_ERROR_RESPONSE_H_

#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::calls {

// Retry-After of requests that are refused before they become a call, when
// there may be no state of the fleet to derive it from.
inline constexpr Duration kRejectionRetryAfter = 300ms;

// Response of this node itself, with `reason` as its text. Advises the caller
// to retry after `retry_after` unless that is zero.
HttpResponse MakeErrorResponse(int status,
                               decision::Reason reason,
                               Duration retry_after);

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_ERROR_RESPONSE_H_
