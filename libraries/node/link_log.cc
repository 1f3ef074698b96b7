#include "libraries/node/link_log.h"

#include "libraries/base/clock.h"
#include "libraries/base/log.h"

namespace agaterun::node {

namespace {

// Maximum number of lost peers for which repeated log lines are suppressed. The
// set is cleared when it is full.
constexpr std::size_t kMaxLostPeers = 4096;

}  // namespace

void LinkLog::LogConnected(NodeAddress peer, bool is_outgoing) {
  {
    const std::lock_guard lock(this->mutex);
    this->lost.erase(peer);
  }
  Log(LogEvent::kPeerConnected, {{"peer", peer.ToString()},
                                 {"opened_by", is_outgoing ? "self" : "peer"}});
}

void LinkLog::LogLost(NodeAddress peer, const std::string& reason) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->lost.size() >= kMaxLostPeers) {
      this->lost.clear();
    }
    if (!this->lost.insert(peer).second) {
      return;
    }
  }
  Log(LogEvent::kPeerLost, {{"peer", peer.ToString()}, {"reason", reason}});
}

void LinkLog::LogRejected(LogEvent event,
                          const std::string& sender,
                          const std::string& reason) {
  const auto dropped = this->limiter.Admit(MonotonicClock().Now());
  if (!dropped) {
    return;
  }
  Log(event, {{"peer", sender},
              {"reason", reason},
              {"lines_dropped", std::to_string(*dropped)}});
}

}  // namespace agaterun::node
