#include "libraries/proxy/account_metrics.h"

#include <sstream>

#include "libraries/proxy/metric_text.h"

namespace agaterun::proxy {

std::string AccountMetrics(
    const std::vector<accounts::AccountQuotas::AccountUse>& uses) {
  using Use = accounts::AccountQuotas::AccountUse;
  std::ostringstream out;
  const auto write_gauge = [&](const char* name, double Use::*value) {
    WriteMetric(out, name, "gauge", "account", uses, &Use::account, value);
  };
  write_gauge("agaterun_account_offered_per_second", &Use::offered);
  write_gauge("agaterun_account_admitted_per_second", &Use::admitted);
  write_gauge("agaterun_account_limit_per_second", &Use::limit);
  write_gauge("agaterun_account_part", &Use::part);
  write_gauge("agaterun_account_fleet_balance", &Use::fleet_balance);
  return out.str();
}

}  // namespace agaterun::proxy
