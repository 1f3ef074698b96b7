#ifndef LIBRARIES_NODE_LINK_LOG_H_
#define LIBRARIES_NODE_LINK_LOG_H_

#include <mutex>
#include <string>
#include <unordered_set>

#include "libraries/base/log_event.h"
#include "libraries/base/node_address.h"
#include "libraries/node/log_limiter.h"

namespace agaterun::node {

// Writes the log events of links. Limits the lines that other hosts can cause.
// Safe from any thread.
class LinkLog {
 public:
  void LogConnected(NodeAddress peer, bool is_outgoing);

  // Logs a lost peer once until it is connected again, since each visit may try
  // to reconnect.
  void LogLost(NodeAddress peer, const std::string& reason);

  // `event` is kFrameRejected or kPeerRefused.
  void LogRejected(LogEvent event,
                   const std::string& sender,
                   const std::string& reason);

 private:
  std::mutex mutex;
  std::unordered_set<NodeAddress> lost;
  LogLimiter limiter{{}};
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_LINK_LOG_H_
