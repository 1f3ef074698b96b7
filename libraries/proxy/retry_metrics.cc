#include "libraries/proxy/retry_metrics.h"

#include <sstream>

#include "libraries/proxy/metric_text.h"

namespace agaterun::proxy {

std::string RetryMetrics(const std::vector<retries::RetryQuota::Use>& uses,
                         std::size_t fleet_size) {
  using Use = retries::RetryQuota::Use;
  std::ostringstream out;
  const auto write = [&](const char* name, const char* type, auto Use::*value) {
    WriteMetric(out, name, type, "service", uses, &Use::service, value);
  };
  write("agaterun_retry_window_requests", "gauge", &Use::requests);
  write("agaterun_retry_window_retries", "gauge", &Use::retries);
  write("agaterun_retries_available", "gauge", &Use::available);
  write("agaterun_retries_granted_total", "counter", &Use::granted);
  write("agaterun_retries_denied_total", "counter", &Use::denied);
  out << "# TYPE agaterun_retry_fleet_size gauge\nagaterun_retry_fleet_size "
      << fleet_size << "\n";
  return out.str();
}

}  // namespace agaterun::proxy
