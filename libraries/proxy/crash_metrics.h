#ifndef LIBRARIES_PROXY_CRASH_METRICS_H_
#define LIBRARIES_PROXY_CRASH_METRICS_H_

#include <string>

#include "libraries/retries/crash_history.h"

namespace agaterun::proxy {

// Requests that this node suspects of crashing backend servers, in Prometheus
// text format.
std::string CrashMetrics(const retries::CrashHistory::Counts& counts);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_CRASH_METRICS_H_
