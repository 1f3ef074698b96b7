#ifndef TESTS_PLATFORM_RECORDING_OBSERVER_H_
#define TESTS_PLATFORM_RECORDING_OBSERVER_H_

#include <condition_variable>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "libraries/platform/platform_reader.h"

namespace agaterun::platform {

struct ReadEnd {
  bool reached = false;
  std::uint64_t last_number = 0;
};

// Keeps all that the reader brings.
class RecordingObserver final : public PlatformObserver {
 public:
  void OnTicketPublished(std::string text) override {
    const std::lock_guard lock(this->mutex);
    this->tickets.push_back(std::move(text));
  }

  void OnHostList(std::vector<decision::HostListEntry> hosts) override {
    const std::lock_guard lock(this->mutex);
    this->hosts = std::move(hosts);
  }

  void OnPlatformReadEnded(bool reached, std::uint64_t last_number) override {
    {
      const std::lock_guard lock(this->mutex);
      this->ends.push_back({reached, last_number});
    }
    this->changed.notify_all();
  }

  // The `count`th end of a read; one that hangs gives {false, 0}.
  ReadEnd WaitForEnd(std::size_t count) {
    std::unique_lock lock(this->mutex);
    constexpr auto kHangGuard = 20s;
    const bool ended = this->changed.wait_for(
        lock, kHangGuard, [&] { return this->ends.size() >= count; });
    return ended ? this->ends[count - 1] : ReadEnd{};
  }

  std::vector<std::string> Tickets() {
    const std::lock_guard lock(this->mutex);
    return this->tickets;
  }

  std::vector<decision::HostListEntry> Hosts() {
    const std::lock_guard lock(this->mutex);
    return this->hosts;
  }

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<std::string> tickets;
  std::vector<decision::HostListEntry> hosts;
  std::vector<ReadEnd> ends;
};

}  // namespace agaterun::platform

#endif  // TESTS_PLATFORM_RECORDING_OBSERVER_H_
