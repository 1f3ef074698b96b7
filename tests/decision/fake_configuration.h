#ifndef TESTS_DECISION_FAKE_CONFIGURATION_H_
#define TESTS_DECISION_FAKE_CONFIGURATION_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/decision/events.h"

namespace agaterun::decision {

// Data published by a simulated platform. Read returns it as the events that a
// read of the platform causes.
struct FakeConfiguration {
  // True if a visible ticket has a number greater than `after`.
  bool HasNews(std::uint64_t after) const {
    return std::any_of(
        this->tickets.begin(), this->tickets.begin() + this->Shown(),
        [&](const std::string& text) { return NumberOf(text) > after; });
  }

  std::vector<Event> Read(bool reached, std::uint64_t after) const {
    if (!reached) {
      return {PlatformReadEnded{.reached = false}};
    }
    std::vector<Event> events;
    std::uint64_t last = 0;
    for (auto text = this->tickets.begin();
         text != this->tickets.begin() + this->Shown(); ++text) {
      last = std::max(last, NumberOf(*text));
      if (NumberOf(*text) > after) {
        events.emplace_back(TicketPublished{*text});
      }
    }
    events.emplace_back(HostListReceived{this->hosts});
    events.emplace_back(
        PlatformReadEnded{.reached = true, .last_number = last});
    return events;
  }

  std::vector<std::string> tickets;
  // Number of visible tickets. A platform with out-of-date data shows only the
  // first few.
  std::size_t shown = SIZE_MAX;
  std::vector<HostListEntry> hosts;
  std::map<std::int64_t, int> calls;  // Number of reads in each second.

 private:
  std::ptrdiff_t Shown() const {
    return static_cast<std::ptrdiff_t>(
        std::min(this->shown, this->tickets.size()));
  }
  static std::uint64_t NumberOf(const std::string& text) {
    return std::stoull(text.substr(text.find("number = ") + 9));
  }
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_FAKE_CONFIGURATION_H_
