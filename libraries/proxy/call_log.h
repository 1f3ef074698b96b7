#ifndef LIBRARIES_PROXY_CALL_LOG_H_
#define LIBRARIES_PROXY_CALL_LOG_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/http_message.h"
#include "libraries/base/log_event.h"
#include "libraries/calls/call_origin.h"
#include "libraries/node/log_limiter.h"
#include "libraries/operator/metrics.h"
#include "libraries/retries/retry_quota.h"

namespace agaterun::proxy {

// Counts every call and visit in the metrics, and logs those that failed. Each
// log event is limited to a number of lines per second.
class CallLog {
 public:
  // Records a completed call; logs it when its status is 500 or above.
  void LogCall(Instant now,
               const std::string& request_id,
               const calls::CallSummary& summary);
  // Records and logs a visit that the gate refused, or whose exchange with the
  // backend server broke off.
  void LogVisit(Instant now,
                LogEvent event,
                const std::string& request_id,
                decision::Reason reason,
                Duration elapsed);

  // True when at least 1 s has passed since the last logged load.
  bool IsLoadDue(Instant now) const;
  // Logs the load of this node if requests are queued or routes are throttled.
  // Call it only when IsLoadDue returns true.
  void LogLoad(
      Instant now,
      const decision::LoadReport& load,
      const std::vector<admission::EntryAdmission::ThrottledRoute>& throttled);

  // Logs the retries of this node for each service that has had some, or whose
  // retries were denied, since the last call. Does so once a second.
  void LogRetries(Instant now,
                  const std::vector<retries::RetryQuota::Use>& uses,
                  std::size_t fleet_size);
  bool IsRetryLogDue(Instant now) const;

  std::string Metrics() const { return this->metrics.ToText(); }

 private:
  // Returns true if a line of this event may be written now, and sets
  // `dropped_lines` to the number of lines dropped since the previous one.
  bool Admit(Instant now, LogEvent event, std::string& dropped_lines);

  Instant last_load_logged{};
  Instant last_retries_logged{};
  // Retries granted and denied by service, as logged last.
  std::map<std::string, std::uint64_t> logged_retries;
  std::map<LogEvent, std::unique_ptr<node::LogLimiter>> limiters;
  operator_interface::Metrics metrics;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_CALL_LOG_H_
