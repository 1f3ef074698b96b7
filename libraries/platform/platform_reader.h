#ifndef LIBRARIES_PLATFORM_PLATFORM_READER_H_
#define LIBRARIES_PLATFORM_PLATFORM_READER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "libraries/decision/events.h"

namespace agaterun::platform {

// Hears what the platform publishes. Called from the reader's own thread.
class PlatformObserver {
 public:
  virtual ~PlatformObserver() = default;
  virtual void OnTicketPublished(std::string text) = 0;
  virtual void OnHostList(std::vector<decision::HostListEntry> hosts) = 0;
  // Ends each Read, after what it brought.
  virtual void OnPlatformReadEnded(bool reached, std::uint64_t last_number) = 0;
};

// Reads the platform's configuration service and host list:
//   GET /v1/tickets?after=N&limit=K[&wait_ms=W]
//     {"last": number, "tickets": [{"number": 7, "text": "..."}]}
//   GET /v1/hosts
//     {"hosts": [{"name": "...", "node": "ip:port", "leaving": false}]}
// One thread, one read at a time; each HTTP call counts at the platform.
class PlatformReader {
 public:
  struct Options {
    NodeAddress platform;
    Duration connect_timeout = 1s;
    // Of a whole call, on top of `connect_timeout`, and of `watch_time` for a
    // watch.
    Duration read_timeout = 2s;
    Duration watch_time = 20s;  // A watch without news ends after this.
    int tickets_per_read = 64;
  };

  // `observer` outlives the reader.
  PlatformReader(Options options, PlatformObserver& observer);
  ~PlatformReader();

  // Reads the host list and the tickets after `after_number`, page by page;
  // with `watch`, holds the last page open until something newer is there.
  // Never blocks. A read while one runs replaces the one that waits.
  void Read(std::uint64_t after_number, bool watch);

  // HTTP calls made so far.
  std::uint64_t CallCount() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace agaterun::platform

#endif  // LIBRARIES_PLATFORM_PLATFORM_READER_H_
