#ifndef LIBRARIES_RETRIES_RETRY_QUOTA_H_
#define LIBRARIES_RETRIES_RETRY_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/retries/sliding_sum.h"

namespace agaterun::retries {

// This node's fraction of the retries that the whole fleet may send to a
// service in any time window: a ratio of the requests of callers, and some
// extra. Nodes don't report the retries that they send, and a process doesn't
// know those of its predecessor, so each has its own limit, such that the sum
// stays within the limit of the fleet for any sequence of restarts:
//
// - Each request of a caller earns a fraction of a retry. Earnings may be kept
//   for a fraction of the window; of older ones, a node keeps no more than a
//   standing amount, taken from its part of the extra.
// - The rest of its part of the extra need not be earned. It may be consumed
//   once per window, but not in the first window of a process.
//
// A new process starts with neither, so a restart can only lower the sum.
//
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
    double available = 0;       // Retries that may be consumed now.
    std::uint64_t granted = 0;  // Retries since the process started.
    std::uint64_t denied = 0;   // The same.
  };

  // `started` is the start of the process.
  explicit RetryQuota(Options options, Instant started = {})
      : options(options), started(started) {}

  void SetOptions(Options new_options) { this->options = new_options; }
  // Sets the number of nodes that the extra retries are divided among. While it
  // is zero, this node has none of them.
  void SetFleetSize(std::size_t nodes) { this->fleet_size = nodes; }
  std::size_t FleetSize() const { return this->fleet_size; }

  // Counts a request of a caller for the service.
  void AddRequest(Instant now, std::string_view service);

  // Consumes `cost` retries. Returns false, and consumes nothing, if fewer are
  // available.
  bool TryConsume(Instant now, std::string_view service, double cost);

  // Of all services, sorted by name.
  std::vector<Use> Uses(Instant now);

 private:
  struct ServiceUsage {
    SlidingSum requests;
    SlidingSum recent_requests;  // Whose earnings may still be kept.
    SlidingSum retries;
    SlidingSum extra_retries;  // Consumed from the extra of the window.
    double earned = 0;
    std::uint64_t granted = 0;
    std::uint64_t denied = 0;

    ServiceUsage();
  };

  // This node's part of the extra retries of the fleet.
  struct Extra {
    double standing = 0;    // Earned retries that may be kept for long.
    double per_window = 0;  // Retries that need not be earned.
  };

  // Retries that may be consumed, by their source.
  struct Available {
    double earned = 0;
    double extra = 0;
  };

  ServiceUsage& UsageOf(std::string_view service);
  Available AvailableFor(Instant now, ServiceUsage& usage) const;
  Extra OwnExtra() const;

  Options options;
  Instant started;
  std::size_t fleet_size = 0;
  std::map<std::string, ServiceUsage, std::less<>> usage_by_service;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_RETRY_QUOTA_H_
