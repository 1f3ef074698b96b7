#ifndef LIBRARIES_CALLER_REQUEST_HEADERS_H_
#define LIBRARIES_CALLER_REQUEST_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"

// How calls, bindings and outcomes look in HTTP.
namespace agaterun::caller {

// Response header with the outcome's name, on every answer.
inline constexpr std::string_view kOutcomeHeader = "Agaterun-Outcome";
// Response header with the reason's name, on answers without a backend
// server's answer.
inline constexpr std::string_view kReasonHeader = "Agaterun-Reason";
// Request and response header with a binding.
inline constexpr std::string_view kBindingHeader = "Agaterun-Binding";
// Response header with the binding for the next non-idempotent request.
inline constexpr std::string_view kNextBindingHeader = "Agaterun-Next-Binding";
// Request header: milliseconds that the caller will wait. The backend server
// gets it too, and sends what is left of it with its nested calls.
inline constexpr std::string_view kTimeoutHeader = "Agaterun-Timeout-Ms";
// Request header: team or caller that is charged inside its class.
inline constexpr std::string_view kShareHeader = "Agaterun-Share";
// Response header: milliseconds after which to come back.
inline constexpr std::string_view kRetryAfterHeader = "Agaterun-Retry-After-Ms";
inline constexpr std::string_view kIdempotencyKeyHeader = "Idempotency-Key";

// Target that asks what became of a binding: GET /.agaterun/outcome/SERVICE
// with kBindingHeader. Closes a binding that has not run.
inline constexpr std::string_view kOutcomePath = "/.agaterun/outcome/";

// "ip:port/incarnation/sequence", numbers in hexadecimal.
std::string WriteBinding(const decision::Binding& binding);
Result<decision::Binding> ReadBinding(std::string_view text);

// W3C tracestate member of this product.
inline constexpr std::string_view kTraceStateKey = "agaterun";
std::string WriteVisitId(decision::VisitId visit);
std::optional<decision::VisitId> ReadVisitId(std::string_view text);

// The visit that the tracestate of a nested call names, or nothing.
std::optional<decision::VisitId> ReadParentVisit(const HttpHeaders& headers);

// Replaces this product's member of tracestate, and adds a traceparent when
// there is none, as its vendor must (W3C Trace Context, sections 3.3 and 4.3).
void WriteParentVisit(HttpHeaders& headers, decision::VisitId visit);

// The event for a request: /SERVICE/PATH, its headers read and checked. Fails
// with ErrorKind::kMalformedMessage, whose message goes to the caller. The
// tracestate of outside callers is not looked at.
Result<decision::CallArrived> ReadCall(decision::CallId call,
                                       const HttpRequest& request,
                                       bool nested);

// The request as the backend server gets it: target without the service, no
// headers of this product but, with `remaining`, kTimeoutHeader with the time
// left for the answer.
HttpRequest ForBackendServer(HttpRequest request,
                             decision::VisitId visit,
                             std::optional<Duration> remaining = std::nullopt);

// The response for a final answer. Without a backend server's answer the
// status follows the reason, and a JSON body names outcome, reason and remedy.
// Not run: 503 with Retry-After, 428 for kBindingRequired, 404, 400, 504.
// Unknown: 502 or 504.
HttpResponse WriteCallerResponse(const decision::RespondToCaller& answer);

// The response to a request that is refused before it becomes a call: outcome
// not-run, 400 for kMalformed, and `remedy` in the body.
HttpResponse WriteRejection(int status,
                            decision::Reason reason,
                            std::string_view remedy,
                            Duration retry_after = Duration::zero());

// The response to a request that ReadCall refused.
HttpResponse WriteRejection(const Error& error);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_REQUEST_HEADERS_H_
