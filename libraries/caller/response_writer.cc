#include <array>
#include <nlohmann/json.hpp>

#include "libraries/base/http_status.h"
#include "libraries/caller/header_reader.h"
#include "libraries/caller/request_headers.h"

namespace agaterun::caller {

namespace {

using decision::Outcome;
using decision::Reason;

// Status and remedy that a caller receives for a reason.
struct ReasonRow {
  Reason reason;
  int status;  // For the outcome kNotRun.
  std::string_view remedy;
};

constexpr std::array kReasonRows = {
    ReasonRow{Reason::kNone, 503, "send it again"},
    ReasonRow{Reason::kOverloaded, 503,
              "the service is overloaded; come back after Retry-After"},
    ReasonRow{Reason::kExhausted, 503,
              "retries are used up; come back after Retry-After"},
    ReasonRow{Reason::kDeadlineExceeded, 504,
              "the time limit is too short at this load; give it more time"},
    ReasonRow{Reason::kLeaving, 503,
              "this host is leaving; send it to another node"},
    ReasonRow{Reason::kUnreachable, 503,
              "no endpoint of the service is reached; come back later"},
    ReasonRow{Reason::kBackendDown, 503,
              "the backend server takes no connections; come back later"},
    ReasonRow{Reason::kBackendFailed, 502,
              "the backend server broke off; ask what became of the binding "
              "before sending anything non-idempotent again"},
    ReasonRow{Reason::kConnectionLost, 502,
              "the node that ran it fell silent; ask what became of the "
              "binding before sending anything non-idempotent again"},
    ReasonRow{Reason::kNoSuchService, 404,
              "no ticket in force names the service; check the name, or issue "
              "a ticket with it"},
    ReasonRow{Reason::kNoSuchRoute, 404,
              "the service has no such route; check method and path, or issue "
              "a ticket with it"},
    ReasonRow{Reason::kBindingRequired, 428,
              "send it again with Agaterun-Binding set to the value of "
              "Agaterun-Next-Binding"},
    ReasonRow{Reason::kBindingLost, 503,
              "the process that gave the binding is gone; find out by other "
              "means whether the request ran"},
    ReasonRow{Reason::kBindingFenced, 428,
              "the binding was closed and the request will not run under it; "
              "send it again with a new one"},
    ReasonRow{Reason::kInProgress, 503,
              "the request still runs; ask again after Retry-After"},
    ReasonRow{Reason::kSuspect, 503,
              "requests like it were there when a backend server died and run "
              "one at a time; come back after Retry-After"},
    ReasonRow{Reason::kQuarantined, 503,
              "requests like it crash backend servers; don't send it again "
              "before the service is mended"},
    ReasonRow{Reason::kCancelled, 503, "the caller or the parent gave it up"},
    ReasonRow{Reason::kWaitingForState, 503,
              "this node has not learned the tickets in force yet; come back "
              "after Retry-After or use another node"},
    ReasonRow{Reason::kMalformed, 400, "send a valid request"},
    ReasonRow{Reason::kLimitReached, 503,
              "this node is full; come back after Retry-After"},
    ReasonRow{Reason::kBackendRejected, 503,
              "the backend server took no more work; come back after "
              "Retry-After"},
    ReasonRow{Reason::kUnknownKey, 401,
              "no client account holds this key; send a valid one"},
    ReasonRow{Reason::kQuotaExceeded, 429,
              "the client account has reached its quota; come back after "
              "Retry-After"},
};

const ReasonRow& RowOf(Reason reason) {
  for (const auto& row : kReasonRows) {
    if (row.reason == reason) {
      return row;
    }
  }
  return kReasonRows.front();
}

int StatusOf(Outcome outcome, const ReasonRow& row) {
  if (outcome == Outcome::kNotRun) {
    return row.status;
  }
  return row.reason == Reason::kDeadlineExceeded ? http_status::kGatewayTimeout
                                                 : http_status::kBadGateway;
}

void WriteRetryAfter(HttpHeaders& headers, std::int64_t milliseconds) {
  constexpr std::int64_t kPerSecond = 1000;
  // Retry-After has whole seconds. Rounds up, so that the caller does not retry
  // too early.
  const std::int64_t seconds = (milliseconds + kPerSecond - 1) / kPerSecond;
  headers.push_back({"Retry-After", std::to_string(seconds)});
  headers.push_back(
      {std::string(kRetryAfterHeader), std::to_string(milliseconds)});
}

HttpResponse WriteError(int status,
                        Outcome outcome,
                        Reason reason,
                        std::string_view remedy,
                        Duration retry_after) {
  const std::int64_t milliseconds =
      std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
  const nlohmann::ordered_json body = {
      {"outcome", NameOf(decision::kOutcomeNames, outcome)},
      {"reason", NameOf(decision::kReasonNames, reason)},
      {"remedy", remedy},
      {"retry_after_ms", milliseconds},
  };
  HttpResponse response;
  response.status = status;
  response.headers = {
      {"Content-Type", "application/json"},
      {std::string(kOutcomeHeader),
       std::string(NameOf(decision::kOutcomeNames, outcome))},
      {std::string(kReasonHeader),
       std::string(NameOf(decision::kReasonNames, reason))},
  };
  if (milliseconds > 0) {
    WriteRetryAfter(response.headers, milliseconds);
  }
  // The remedy may quote bytes of the request that are not valid UTF-8.
  response.body =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  return response;
}

HttpResponse WriteCompleted(const HttpResponse& backend_response) {
  HttpResponse response = backend_response;
  // A backend server must not set agaterun's headers.
  std::erase_if(response.headers, [](const HttpHeader& header) {
    return IsProductHeader(header.name);
  });
  response.headers.push_back(
      {std::string(kOutcomeHeader),
       std::string(NameOf(decision::kOutcomeNames, Outcome::kCompleted))});
  return response;
}

}  // namespace

HttpResponse WriteCallerResponse(const decision::RespondToCaller& result) {
  const ReasonRow& row = RowOf(result.reason);
  // A completed outcome without a response of the backend server is reported as
  // unknown, since there is nothing to return.
  const Outcome outcome = result.outcome == Outcome::kCompleted
                              ? Outcome::kUnknown
                              : result.outcome;
  HttpResponse response =
      result.outcome == Outcome::kCompleted && result.answer
          ? WriteCompleted(*result.answer)
          : WriteError(StatusOf(outcome, row), outcome, result.reason,
                       row.remedy, result.retry_after);
  if (result.next_binding) {
    response.headers.push_back(
        {std::string(kNextBindingHeader), WriteBinding(*result.next_binding)});
  }
  return response;
}

HttpResponse WriteRejection(int status,
                            Reason reason,
                            std::string_view remedy,
                            Duration retry_after) {
  return WriteError(status, Outcome::kNotRun, reason, remedy, retry_after);
}

HttpResponse WriteRejection(const Error& error) {
  return WriteRejection(RowOf(Reason::kMalformed).status, Reason::kMalformed,
                        error.message);
}

}  // namespace agaterun::caller
