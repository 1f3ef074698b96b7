#ifndef LIBRARIES_PROXY_CALL_LOG_H_
#define LIBRARIES_PROXY_CALL_LOG_H_

#include <map>
#include <memory>
#include <string>

#include "libraries/base/http_message.h"
#include "libraries/base/log_event.h"
#include "libraries/calls/call_origin.h"
#include "libraries/node/log_limiter.h"
#include "libraries/operator/metrics.h"

namespace agaterun::proxy {

// Writes one line for each request that failed, up to a bound a second, and
// counts all.
class CallLog {
 public:
  void NoteCall(Instant now,
                const std::string& request_id,
                const calls::CallSummary& summary);
  void NoteVisit(Instant now,
                 LogEvent event,
                 const std::string& request_id,
                 decision::Reason reason,
                 Duration elapsed);

  // Writes how loaded this node is when anything waits or is held back; to be
  // called when a line is due, at most once a second.
  bool IsLoadDue(Instant now) const;
  void NoteLoad(
      Instant now,
      const decision::LoadReport& load,
      const std::vector<admission::EntryAdmission::ThrottledRoute>& held);

  std::string Metrics() const { return this->metrics.ToText(); }

 private:
  // True when a line of this event may be written now; sets how many were
  // left out before it.
  bool Admit(Instant now, LogEvent event, std::string& left_out);

  Instant load_noted{};
  std::map<LogEvent, std::unique_ptr<node::LogLimiter>> limiters;
  operator_interface::Metrics metrics;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_CALL_LOG_H_
