#include "libraries/proxy/response_metrics.h"

#include <sstream>

#include "libraries/proxy/metric_text.h"

namespace agaterun::proxy {

std::string ResponseMetrics(const admission::ResponseMemory::Counts& counts) {
  std::ostringstream out;
  WriteMetric(out, "agaterun_response_memory_bytes", "gauge",
              counts.used_bytes);
  WriteMetric(out, "agaterun_response_memory_max_bytes", "gauge",
              counts.max_bytes);
  WriteMetric(out, "agaterun_responses_given_up_total", "counter",
              counts.given_up);
  return out.str();
}

}  // namespace agaterun::proxy
