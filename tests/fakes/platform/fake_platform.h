#ifndef TESTS_FAKES_PLATFORM_FAKE_PLATFORM_H_
#define TESTS_FAKES_PLATFORM_FAKE_PLATFORM_H_

#include <httplib.h>

#include <array>
#include <atomic>
#include <filesystem>
#include <map>
#include <mutex>
#include <string>
#include <thread>

#include "libraries/base/enum_names.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"
#include "tests/fakes/platform/published_values.h"

namespace agaterun::fakes {

enum class PlatformFault { kOk, kDown, kStale, kSlow, kError };

inline constexpr std::array kPlatformFaultNames = {
    EnumName<PlatformFault>{PlatformFault::kOk, "ok"},
    EnumName<PlatformFault>{PlatformFault::kDown, "down"},
    EnumName<PlatformFault>{PlatformFault::kStale, "stale"},
    EnumName<PlatformFault>{PlatformFault::kSlow, "slow"},
    EnumName<PlatformFault>{PlatformFault::kError, "error"},
};

// Stand-in for the platform's configuration service and host list:
//   GET /v1/tickets?after=N&limit=K[&wait_ms=W]   GET /v1/hosts
// and to steer it:
//   POST /control/tickets  a ticket's text     POST /control/hosts  JSON
//   POST /control/fault    {"mode": "ok|down|stale|slow|error"}
//   GET  /control/stats    {"reads": n, "refused": n}
class FakePlatform {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    int port = 0;                   // 0 takes a free one.
    std::filesystem::path tickets;  // Folder of NNN.ini; empty: none.
    std::filesystem::path hosts;    // File with a host list; empty: none.
    Duration host_list_lag{};
    Duration slow_time = 10s;               // What kSlow adds to each read.
    std::uint64_t reads_per_second = 2000;  // More get 429; a watch is one.
  };

  explicit FakePlatform(Options options);
  ~FakePlatform();

  // Where it listens; port 0 when it could not.
  NodeAddress Address() const { return this->address; }

  void PublishTicket(std::uint64_t number, std::string text);
  void PublishHosts(std::string json);
  void SetFault(PlatformFault fault);
  std::uint64_t Reads() const { return this->reads; }

 private:
  using Handler = void (FakePlatform::*)(const httplib::Request&,
                                         httplib::Response&);

  void AddRoutes();
  void AddRead(const char* path, Handler handler);
  void ServeTickets(const httplib::Request& request,
                    httplib::Response& response);
  void ServeHosts(const httplib::Request& request, httplib::Response& response);
  void TakeTicket(const httplib::Request& request, httplib::Response& response);
  void TakeFault(const httplib::Request& request, httplib::Response& response);
  // True when the fault in force answered in place of the read.
  bool AnswerFault(httplib::Response& response);
  bool IsWithinRate();
  void ReadFiles();
  void WatchFiles();

  const Options options;
  PublishedValues values;
  httplib::Server server;
  NodeAddress address;
  std::atomic<PlatformFault> fault{PlatformFault::kOk};
  std::atomic<std::uint64_t> reads{0};
  std::atomic<std::uint64_t> refused{0};
  std::atomic<bool> stopping{false};
  std::mutex rate_mutex;
  Instant window_start{};
  std::uint64_t window_reads = 0;
  std::map<std::filesystem::path, std::filesystem::file_time_type> files_read;
  std::thread serving;
  std::thread watching;
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_PLATFORM_FAKE_PLATFORM_H_
