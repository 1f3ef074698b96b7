#ifndef TESTS_FAKES_PLATFORM_PUBLISHED_VALUES_H_
#define TESTS_FAKES_PLATFORM_PUBLISHED_VALUES_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "libraries/base/time.h"

namespace agaterun::fakes {

// What the platform publishes: tickets at once, host lists after a lag.
// Safe from any thread.
class PublishedValues {
 public:
  using Tickets = std::vector<std::pair<std::uint64_t, std::string>>;

  explicit PublishedValues(Duration host_list_lag) : lag(host_list_lag) {}

  // A text under a number that is taken replaces the earlier one.
  void PublishTicket(std::uint64_t number, std::string text);
  void PublishHosts(std::string json);

  // From now on reads see what was published until now.
  void SetStale(bool stale);

  // Up to `limit` tickets after `after`; waits up to `wait` for the first.
  Tickets TicketsAfter(std::uint64_t after, std::size_t limit, Duration wait);
  std::uint64_t LastNumber();
  std::string Hosts();

  // Ends all waits, now and later.
  void Stop();

 private:
  struct HostList {
    Instant visible_at{};
    std::string json;
  };

  const std::map<std::uint64_t, std::string>& Visible() const {
    return this->stale ? this->stale_tickets : this->tickets;
  }
  std::string VisibleHosts();

  const Duration lag;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::uint64_t, std::string> tickets;
  std::deque<HostList> host_lists;  // The last one visible, and later ones.
  bool stale = false;
  bool stopped = false;
  std::map<std::uint64_t, std::string> stale_tickets;
  std::string stale_hosts;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_PLATFORM_PUBLISHED_VALUES_H_
