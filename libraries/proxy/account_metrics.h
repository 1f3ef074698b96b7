#ifndef LIBRARIES_PROXY_ACCOUNT_METRICS_H_
#define LIBRARIES_PROXY_ACCOUNT_METRICS_H_

#include <string>
#include <vector>

#include "libraries/accounts/account_quotas.h"

namespace agaterun::proxy {

// Requests per second of the given client accounts at this node, and the use of
// their limits, in Prometheus text format.
std::string AccountMetrics(
    const std::vector<accounts::AccountQuotas::AccountUse>& uses);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_ACCOUNT_METRICS_H_
