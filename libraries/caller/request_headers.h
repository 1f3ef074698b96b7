#ifndef LIBRARIES_CALLER_REQUEST_HEADERS_H_
#define LIBRARIES_CALLER_REQUEST_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"

// Conversion of calls, bindings and outcomes from and to HTTP messages.
namespace agaterun::caller {

// Response header: name of the outcome. Present on every response.
inline constexpr std::string_view kOutcomeHeader = "Agaterun-Outcome";
// Response header: name of the reason. Present on responses that agaterun
// creates itself, without a response of the backend server.
inline constexpr std::string_view kReasonHeader = "Agaterun-Reason";
// Request and response header: a binding.
inline constexpr std::string_view kBindingHeader = "Agaterun-Binding";
// Response header: the binding for the next non-idempotent request.
inline constexpr std::string_view kNextBindingHeader = "Agaterun-Next-Binding";
// Request header: milliseconds that the caller waits for the response. It is
// also sent to the backend server, which sends the remaining time with its
// nested calls.
inline constexpr std::string_view kTimeoutHeader = "Agaterun-Timeout-Ms";
// Request header: team or caller that the request is charged to within its
// class.
inline constexpr std::string_view kShareHeader = "Agaterun-Share";
// Response header: milliseconds until the caller may send the request again.
inline constexpr std::string_view kRetryAfterHeader = "Agaterun-Retry-After-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Target that queries the outcome of a binding: GET /.agaterun/outcome/SERVICE
// with kBindingHeader. The query closes a binding whose request has not run.
inline constexpr std::string_view kOutcomePath = "/.agaterun/outcome/";

// "ip:port/incarnation/sequence", numbers in hexadecimal.
std::string WriteBinding(const decision::Binding& binding);
Result<decision::Binding> ReadBinding(std::string_view text);

// Key of agaterun's member of the W3C tracestate header.
inline constexpr std::string_view kTraceStateKey = "agaterun";
std::string WriteVisitId(decision::VisitId visit);
std::optional<decision::VisitId> ReadVisitId(std::string_view text);

// The visit id in the tracestate of a nested call, or nothing.
std::optional<decision::VisitId> ReadParentVisit(const HttpHeaders& headers);

// Replaces agaterun's member of tracestate and updates traceparent. Creates a
// traceparent if there is no valid one, as a vendor that writes tracestate must
// (W3C Trace Context, sections 3.3 and 4.3).
void WriteParentVisit(HttpHeaders& headers, decision::VisitId visit);

// Converts a request for /SERVICE/PATH to an event and validates its headers.
// Fails with ErrorKind::kMalformedMessage; the message is sent to the caller.
// The tracestate of outside callers is ignored.
Result<decision::CallArrived> ReadCall(decision::CallId call,
                                       const HttpRequest& request,
                                       bool nested);

// Converts a request to the form that is sent to the backend server: removes
// the service from the target and agaterun's headers, and adds the visit to the
// trace headers. With `remaining`, adds kTimeoutHeader with the time that
// remains for the response.
HttpRequest ForBackendServer(HttpRequest request,
                             decision::VisitId visit,
                             std::optional<Duration> remaining = std::nullopt);

// The final response of a call. Without a response of the backend server, the
// status depends on the reason, and a JSON body has outcome, reason and remedy.
// Not run: 503 with Retry-After, 428 for kBindingRequired, 404, 400, 504.
// Unknown: 502 or 504.
HttpResponse WriteCallerResponse(const decision::RespondToCaller& result);

// The response to a request that is rejected before it becomes a call: outcome
// not-run, 400 for kMalformed, and `remedy` in the body.
HttpResponse WriteRejection(int status,
                            decision::Reason reason,
                            std::string_view remedy,
                            Duration retry_after = Duration::zero());

// The response to a request for which ReadCall returned `error`.
HttpResponse WriteRejection(const Error& error);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_REQUEST_HEADERS_H_
