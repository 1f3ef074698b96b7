#include <utility>

#include "libraries/base/http_status.h"
#include "libraries/calls/visit_gate.h"

// VisitGate's handling of the backend server's responses.
namespace agaterun::calls {

namespace {

using decision::Answer;
using decision::Outcome;
using decision::Reason;

// Weight of the latest visit in the moving average of failures.
constexpr double kFailureWeight = 0.05;

}  // namespace

void VisitGate::RecordResult(Instant now, bool failed) {
  this->last_result = now;
  this->failure_share +=
      ((failed ? 1.0 : 0.0) - this->failure_share) * kFailureWeight;
}

void VisitGate::RecordNotice(Instant now,
                             const Visit& visit,
                             BackendNotice new_notice) {
  if (visit.instance != this->notice_instance) {
    return;
  }
  if (new_notice.has_invalid_rate_limit) {
    new_notice.rate_limit = this->notice.rate_limit;
  }
  // Responses may arrive in another order than they were made in, and a backend
  // server that has begun to shut down doesn't stop doing so.
  new_notice.is_leaving |= this->notice.is_leaving;
  this->rate_limit.SetStatedRate(now, new_notice.rate_limit);
  if (new_notice == this->notice) {
    return;
  }
  this->notice = new_notice;
  this->output.OnBackendNotice(this->notice);
  if (this->notice.is_leaving) {
    this->RefuseQueued(now, Reason::kLeaving);
  }
}

void VisitGate::HandleResponse(Instant now, VisitNumber number, Answer answer) {
  const auto& visit = this->visits.at(number);
  const auto response_class = ClassifyResponse(*answer, this->dialect);
  if (response_class == ResponseClass::kValid ||
      response_class == ResponseClass::kNotRun) {
    auto notice = ReadBackendNotice(*answer, this->dialect);
    if (response_class == ResponseClass::kNotRun && !notice.rate_limit) {
      // A rejection may be made without knowledge of the rate, so it doesn't
      // end the rate that is in force.
      notice.rate_limit = this->notice.rate_limit;
    }
    this->RecordNotice(now, visit, notice);
  }
  switch (response_class) {
    case ResponseClass::kValid:
      // A backend server that is healthy responds 504 too when the deadline
      // passes, so 504 isn't counted as a success or a failure.
      this->last_result = now;
      if (answer->status != http_status::kGatewayTimeout) {
        this->RecordResult(now, answer->status >= http_status::kServerErrors);
      }
      this->queue.Ended(now - visit.started);
      // The time of a failed request is only a lower bound of its service time.
      if (answer->status < http_status::kServerErrors) {
        this->crashes.RecordCompletion(now, visit.request.fingerprint);
        this->times.RecordServiceTime(now, visit.route, now - visit.started);
      } else {
        this->times.RecordLowerBound(now, visit.route, now - visit.started);
      }
      this->SendVisitReply(now, visit, Outcome::kCompleted, Reason::kNone, true,
                           std::move(answer), this->TotalCosts(now, visit));
      return;
    case ResponseClass::kNotRun:
      this->RecordResult(now, true);
      this->queue.Released();
      this->SendVisitReply(now, visit, Outcome::kNotRun,
                           Reason::kBackendRejected, true, nullptr);
      return;
    case ResponseClass::kOtherInstance:
      this->queue.Released();
      this->SendVisitReply(now, visit, Outcome::kNotRun, Reason::kBackendDown,
                           /*offered=*/true, nullptr);
      // The entry may have been replaced while the request was in flight.
      if (this->entry && this->entry->id == visit.instance) {
        this->entry.reset();
        this->output.OnOtherInstance();
      }
      return;
    case ResponseClass::kInvalid:
      this->RecordResult(now, true);
      this->queue.Ended(now - visit.started);
      this->RecordAbandoned(now, number, visit);
      this->SendVisitReply(now, visit, Outcome::kUnknown,
                           Reason::kBackendFailed, true, nullptr);
      return;
  }
}

void VisitGate::EndWithoutResponse(Instant now,
                                   VisitNumber number,
                                   Reason reason) {
  const auto& visit = this->visits.at(number);
  this->RecordResult(now, true);
  this->queue.Ended(now - visit.started);
  this->RecordAbandoned(now, number, visit);
  this->output.ReportVisit(LogEvent::kVisitBroken, *visit.http_request, reason,
                           now - visit.started);
  this->SendVisitReply(now, visit, Outcome::kUnknown, reason, true, nullptr);
}

void VisitGate::OnExchangeEnded(Instant now,
                                VisitNumber number,
                                ExchangeResult end,
                                Answer answer) {
  const auto found = this->visits.find(number);
  if (found == this->visits.end()) {
    return;
  }
  const auto& visit = found->second;
  switch (end) {
    case ExchangeResult::kResponded:
      this->HandleResponse(now, number, std::move(answer));
      break;
    case ExchangeResult::kNotSent:
      this->queue.Released();
      this->output.ReportVisit(LogEvent::kVisitRefused, *visit.http_request,
                               Reason::kBackendDown, now - visit.arrived);
      this->SendVisitReply(now, visit, Outcome::kNotRun, Reason::kBackendDown,
                           false, nullptr);
      break;
    case ExchangeResult::kBroken:
      this->crashes.RecordBrokenExchange(now, visit.request.fingerprint);
      this->EndWithoutResponse(now, number, Reason::kBackendFailed);
      break;
    case ExchangeResult::kGivenUp:
      // Counted as a failure: other endpoints may have the memory.
      this->EndWithoutResponse(now, number, Reason::kLimitReached);
      break;
  }
  this->EndVisit(number);
  this->StartQueued(now);
}

}  // namespace agaterun::calls
