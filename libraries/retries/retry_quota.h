#ifndef LIBRARIES_RETRIES_RETRY_QUOTA_H_
#define LIBRARIES_RETRIES_RETRY_QUOTA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/time.h"

namespace agaterun::retries {

// This node's fraction of the retries that the whole fleet may send to a
// service in any time window. Each node has its own limit, computed from its
// own requests and the size of the fleet, so that the sum stays within the
// limit of the fleet although nodes don't report the retries that they send.
// FIXME: The extra retries are divided evenly, but calls to a deep service come
// from the nodes of few services, and the fractions of all other nodes are
// unused.
class RetryQuota {
 public:
  struct Options {
    double ratio = 0.2;  // Retries per request of a caller.
    double extra = 0;    // Additional retries of the whole fleet per window.
    Duration window = 10s;
  };

  // What was allowed and consumed for one service, for operators.
  struct Use {
    std::string service;
    double requests = 0;        // Of callers, in the current window.
    double retries = 0;         // Consumed in the current window.
    double limit = 0;           // Of `retries`, now.
    std::uint64_t granted = 0;  // Retries since the process started.
    std::uint64_t denied = 0;   // The same.
  };

  explicit RetryQuota(Options options) : options(options) {}

  void SetOptions(Options new_options) { this->options = new_options; }
  void SetFleetSize(int nodes) { this->fleet_size = nodes > 0 ? nodes : 1; }
  // Number of nodes that the extra retries are divided among.
  int FleetSize() const { return this->fleet_size; }

  // Counts a request of a caller for the service.
  void AddRequest(Instant now, std::string_view service);

  // Consumes `cost` retries. Returns false, and consumes nothing, if fewer are
  // left.
  bool TryConsume(Instant now, std::string_view service, double cost);

  // Of all services, sorted by name.
  std::vector<Use> Uses(Instant now);

 private:
  struct Count {
    Instant time{};
    double amount = 0;
  };

  struct ServiceUsage {
    std::deque<Count> requests;  // Counted in time slices.
    std::deque<Count> retries;
    double requests_in_window = 0;
    double retries_in_window = 0;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;
  };

  ServiceUsage& CurrentUsage(Instant now, std::string_view service);
  double Limit(const ServiceUsage& usage) const;

  Options options;
  int fleet_size = 1;
  std::map<std::string, ServiceUsage, std::less<>> usage_by_service;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_RETRY_QUOTA_H_
