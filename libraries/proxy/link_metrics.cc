#include "libraries/proxy/link_metrics.h"

#include <sstream>
#include <string_view>

namespace agaterun::proxy {

namespace {

void Write(std::ostream& out,
           std::string_view domain,
           const node::SentBytes::ByKind& bytes) {
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    if (bytes[index] > 0) {
      out << "agaterun_node_sent_bytes_total{kind=\""
          << node::kFrameKindNames[index].name << "\",domain=\"" << domain
          << "\"} " << bytes[index] << "\n";
    }
  }
}

}  // namespace

std::string LinkMetrics(const node::SentBytes::ByKind& own_domain,
                        const node::SentBytes::ByKind& other_domains) {
  std::ostringstream out;
  out << "# HELP agaterun_node_sent_bytes_total Frames sent to other nodes.\n"
         "# TYPE agaterun_node_sent_bytes_total counter\n";
  Write(out, "own", own_domain);
  Write(out, "other", other_domains);
  return out.str();
}

}  // namespace agaterun::proxy
