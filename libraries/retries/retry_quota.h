#ifndef LIBRARIES_RETRIES_RETRY_QUOTA_H_
#define LIBRARIES_RETRIES_RETRY_QUOTA_H_

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun::retries {

// This node's part of the repeats that the whole fleet may send to a service
// in any window of time. Every node keeps to a part of its own, computed from
// its own requests and the size of the fleet, so the sum stays within the
// bound although no node tells another what it spends.
// FIXME: The parts are even, but calls of a deep service come from the nodes of
// few services; the parts of all others lie idle.
class RetryQuota {
 public:
  struct Options {
    double ratio = 0.2;  // Repeats per request of a caller.
    double extra = 0;    // Repeats for the whole fleet beyond that.
    Duration window = 10s;
  };

  explicit RetryQuota(Options options) : options(options) {}

  void SetOptions(Options new_options) { this->options = new_options; }
  void SetFleetSize(int nodes) { this->nodes = nodes > 0 ? nodes : 1; }

  // A caller's request for the service came in.
  void AddRequest(Instant now, std::string_view service);

  // Takes `cost` repeats. False when they are not left.
  bool Take(Instant now, std::string_view service, double cost);

 private:
  struct Event {
    Instant instant{};
    double amount = 0;
  };

  struct Account {
    std::deque<Event> requests;  // Counted in slices of time.
    std::deque<Event> repeats;
    double requests_in_window = 0;
    double repeats_in_window = 0;
  };

  Account& AccountOf(Instant now, std::string_view service);

  Options options;
  int nodes = 1;
  std::map<std::string, Account, std::less<>> accounts;
};

}  // namespace agaterun::retries

#endif  // LIBRARIES_RETRIES_RETRY_QUOTA_H_
