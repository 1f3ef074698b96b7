#include "libraries/proxy/call_log.h"

#include <cstdio>
#include <optional>

#include "libraries/base/http_status.h"
#include "libraries/base/log.h"

namespace agaterun::proxy {

namespace {

constexpr std::uint64_t kLinesPerSecond = 20;
constexpr Duration kLoadInterval = 1s;
constexpr Duration kRetriesInterval = 1s;

std::string OneDecimal(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

std::string Milliseconds(Duration duration) {
  return OneDecimal(ToMilliseconds(duration));
}

decision::Outcome OutcomeOf(const calls::CallSummary& summary) {
  if (summary.reason == decision::Reason::kNone) {
    return decision::Outcome::kCompleted;
  }
  return summary.status == http_status::kUnavailable ||
                 summary.status < http_status::kServerErrors
             ? decision::Outcome::kNotRun
             : decision::Outcome::kUnknown;
}

// The event of a call that ended without success; nullopt for other calls.
std::optional<LogEvent> EventOf(const calls::CallSummary& summary) {
  if (summary.reason == decision::Reason::kUnknownKey) {
    return LogEvent::kKeyRejected;
  }
  if (summary.reason == decision::Reason::kQuotaExceeded) {
    return LogEvent::kQuotaExceeded;
  }
  if (summary.status < http_status::kServerErrors) {
    return std::nullopt;
  }
  return summary.reason != decision::Reason::kNone &&
                 summary.status == http_status::kUnavailable
             ? LogEvent::kCallRefused
             : LogEvent::kCallFailed;
}

}  // namespace

bool CallLog::Admit(Instant now, LogEvent event, std::string& dropped_lines) {
  auto& limiter = this->limiters[event];
  if (!limiter) {
    limiter = std::make_unique<node::LogLimiter>(
        node::LogLimiter::Options{.lines = kLinesPerSecond});
  }
  const auto dropped = limiter->Admit(now);
  if (!dropped) {
    return false;
  }
  dropped_lines = std::to_string(*dropped);
  return true;
}

void CallLog::LogCall(Instant now,
                      const std::string& request_id,
                      const calls::CallSummary& summary) {
  const auto outcome = OutcomeOf(summary);
  this->metrics.RecordCall(summary.importance, outcome, summary.reason,
                           summary.elapsed);
  const auto event = EventOf(summary);
  std::string dropped_lines;
  if (!event || !this->Admit(now, *event, dropped_lines)) {
    return;
  }
  Log(*event,
      {{"id", request_id},
       {"route", summary.route},
       {"service", summary.service},
       {"account", summary.account.empty() ? "-" : summary.account},
       {"status", std::to_string(summary.status)},
       {"reason", std::string(NameOf(decision::kReasonNames, summary.reason))},
       {"full",
        summary.overloaded_service.empty() ? "-" : summary.overloaded_service},
       {"attempts", std::to_string(summary.attempts)},
       {"node", summary.last_node.ToString()},
       {"ms", Milliseconds(summary.elapsed)},
       {"nested", summary.nested ? "yes" : "no"},
       {"left_out", dropped_lines}});
}

void CallLog::LogVisit(Instant now,
                       LogEvent event,
                       const std::string& request_id,
                       decision::Reason reason,
                       Duration elapsed) {
  this->metrics.RecordVisit(event == LogEvent::kVisitBroken
                                ? decision::Outcome::kUnknown
                                : decision::Outcome::kNotRun,
                            reason);
  std::string dropped_lines;
  if (!this->Admit(now, event, dropped_lines)) {
    return;
  }
  Log(event, {{"id", request_id},
              {"reason", std::string(NameOf(decision::kReasonNames, reason))},
              {"ms", Milliseconds(elapsed)},
              {"left_out", dropped_lines}});
}

bool CallLog::IsLoadDue(Instant now) const {
  return now - this->last_load_logged >= kLoadInterval;
}

void CallLog::LogLoad(
    Instant now,
    const decision::LoadReport& load,
    const std::vector<admission::EntryAdmission::ThrottledRoute>& throttled) {
  if (throttled.empty() && load.queued == 0) {
    return;
  }
  this->last_load_logged = now;
  std::string routes;
  for (const auto& entry : throttled) {
    char share[32];
    std::snprintf(share, sizeof(share), "%.2f/%.0f/%.0f/%.0f", entry.share,
                  entry.capacity, entry.used, entry.planned);
    routes += (routes.empty() ? "" : ",") + entry.route + ":" + entry.service +
              ":" + share;
  }
  char failing[32];
  std::snprintf(failing, sizeof(failing), "%.3f", load.failure_share);
  Log(LogEvent::kLoad, {{"running", std::to_string(load.running)},
                        {"queued", std::to_string(load.queued)},
                        {"limit", std::to_string(load.limit)},
                        {"service_ms", Milliseconds(load.service_time)},
                        {"failing", failing},
                        {"held_back", routes.empty() ? "-" : routes}});
}

bool CallLog::IsRetryLogDue(Instant now) const {
  return now - this->last_retries_logged >= kRetriesInterval;
}

void CallLog::LogRetries(Instant now,
                         const std::vector<retries::RetryQuota::Use>& uses,
                         std::size_t fleet_size) {
  this->last_retries_logged = now;
  for (const auto& use : uses) {
    auto& logged = this->logged_retries[use.service];
    if (logged == use.granted + use.denied) {
      continue;
    }
    logged = use.granted + use.denied;
    Log(LogEvent::kRetries, {{"service", use.service},
                             {"requests", OneDecimal(use.requests)},
                             {"retries", OneDecimal(use.retries)},
                             {"available", OneDecimal(use.available)},
                             {"granted", std::to_string(use.granted)},
                             {"denied", std::to_string(use.denied)},
                             {"nodes", std::to_string(fleet_size)}});
  }
}

}  // namespace agaterun::proxy
