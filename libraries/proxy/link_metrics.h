#ifndef LIBRARIES_PROXY_LINK_METRICS_H_
#define LIBRARIES_PROXY_LINK_METRICS_H_

#include <string>

#include "libraries/node/sent_bytes.h"

namespace agaterun::proxy {

// Returns the bytes sent to other nodes in Prometheus text format, by kind of
// frame and by whether the receiver is in the failure domain of this node.
std::string LinkMetrics(const node::SentBytes::ByKind& own_domain,
                        const node::SentBytes::ByKind& other_domains);

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_LINK_METRICS_H_
