#ifndef LIBRARIES_PROXY_LINK_METRICS_H_
#define LIBRARIES_PROXY_LINK_METRICS_H_

#include <string>

#include "libraries/node/sent_bytes.h"

namespace agaterun::proxy {

// Bytes sent to other nodes, by kind of frame and by whether the receiver is
// of this failure domain, in Prometheus text format.
std::string LinkMetrics(const node::SentBytes::ByKind& own_domain,
                        const node::SentBytes::ByKind& other_domains);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_LINK_METRICS_H_
