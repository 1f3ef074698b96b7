#include "libraries/proxy/crash_metrics.h"

#include <sstream>

#include "libraries/proxy/metric_text.h"

namespace agaterun::proxy {

std::string CrashMetrics(const retries::CrashHistory::Counts& counts) {
  std::ostringstream out;
  WriteMetric(out, "agaterun_suspected_requests", "gauge", counts.suspected);
  WriteMetric(out, "agaterun_quarantined_requests", "gauge",
              counts.quarantined);
  WriteMetric(out, "agaterun_quarantines_total", "counter", counts.quarantines);
  WriteMetric(out, "agaterun_cleared_suspects_total", "counter",
              counts.cleared);
  return out.str();
}

}  // namespace agaterun::proxy
