#ifndef LIBRARIES_PROXY_RETRY_METRICS_H_
#define LIBRARIES_PROXY_RETRY_METRICS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "libraries/retries/retry_quota.h"

namespace agaterun::proxy {

// Retries of this node by service, allowed and consumed, in Prometheus text
// format.
std::string RetryMetrics(const std::vector<retries::RetryQuota::Use>& uses,
                         std::size_t fleet_size);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_RETRY_METRICS_H_
