#include "libraries/proxy/crash_metrics.h"

#include <sstream>

namespace agaterun::proxy {

std::string CrashMetrics(const retries::CrashHistory::Counts& counts) {
  std::ostringstream out;
  const auto write = [&](const char* name, const char* type, auto value) {
    out << "# TYPE " << name << " " << type << "\n"
        << name << " " << value << "\n";
  };
  write("agaterun_suspected_requests", "gauge", counts.suspected);
  write("agaterun_quarantined_requests", "gauge", counts.quarantined);
  write("agaterun_quarantines_total", "counter", counts.quarantines);
  write("agaterun_cleared_suspects_total", "counter", counts.cleared);
  return out.str();
}

}  // namespace agaterun::proxy
