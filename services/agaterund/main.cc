#include <popt.h>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "libraries/base/log.h"
#include "libraries/base/settings.h"
#include "libraries/driver/node_driver.h"
#include "services/agaterund/settings_file.h"
#include "services/agaterund/store_mode.h"

namespace agaterun {

namespace {

enum ExitCode : int {
  kSuccess = 0,
  kFailure = 1,
  kUsage = 2,
  kBadSettings = 3,
};

// Names the settings file when the command line does not.
constexpr const char* kSettingsVariable = "AGATERUN_CONFIG";

struct Arguments {
  std::string settings_file;
  bool check_only = false;
};

// Reads the command line. Returns the exit code when there is nothing to run.
std::optional<int> ReadArguments(int argc,
                                 const char** argv,
                                 Arguments& arguments) {
  char* file = nullptr;
  int check = 0;
  int version = 0;
  const poptOption options[] = {
      {"settings", 's', POPT_ARG_STRING, &file, 0, "settings file (INI)",
       "FILE"},
      {"check", 'c', POPT_ARG_NONE, &check, 0,
       "check the settings and exit: 0 when they are right, 3 when not",
       nullptr},
      {"version", 'V', POPT_ARG_NONE, &version, 0, "print the version",
       nullptr},
      POPT_AUTOHELP POPT_TABLEEND};
  const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context(
      poptGetContext("agaterund", argc, argv, options, 0), &poptFreeContext);
  if (const int parsed = poptGetNextOpt(context.get()); parsed < -1) {
    std::fprintf(stderr, "agaterund: %s: %s; see agaterund --help\n",
                 poptBadOption(context.get(), 0), poptStrerror(parsed));
    return kUsage;
  }
  if (version != 0) {
    std::puts("agaterund " AGATERUN_VERSION);
    return kSuccess;
  }
  const char* named = file != nullptr ? file : std::getenv(kSettingsVariable);
  if (named == nullptr) {
    std::fprintf(stderr,
                 "agaterund: name a settings file with --settings FILE or in "
                 "%s\n",
                 kSettingsVariable);
    return kUsage;
  }
  arguments.settings_file = named;
  std::free(file);  // NOLINT(cppcoreguidelines-no-malloc): popt allocates it.
  arguments.check_only = check != 0;
  return std::nullopt;
}

std::optional<NodeSettings> ReadSettings(const std::string& path) {
  const auto text = ReadSettingsText(path);
  if (!text) {
    std::fprintf(stderr, "agaterund: can't read %s; check its name\n",
                 path.c_str());
    return std::nullopt;
  }
  auto settings = ParseSettings(*text);
  if (!settings) {
    for (const auto& fault : settings.error()) {
      std::fprintf(stderr, "%s\n", Describe(fault, path).c_str());
    }
    return std::nullopt;
  }
  return *settings;
}

// Blocks the signals that ask for a planned stop, in this thread and in all
// that it starts. A second one, sent while the node drains, stays pending and
// does not cut off what is in flight.
sigset_t BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Returns once the node has stopped, on a signal or by the host list.
void WaitForStop(driver::NodeDriver& driver,
                 const sigset_t& stop_signals,
                 const std::atomic<bool>& stopped) {
  constexpr timespec kPoll{.tv_sec = 0, .tv_nsec = 100'000'000};
  while (!stopped) {
    if (sigtimedwait(&stop_signals, nullptr, &kPoll) > 0) {
      driver.Stop();
    }
  }
}

int Serve(NodeSettings settings) {
  const auto stop_signals = BlockStopSignals();
  const int thread_count = settings.threads;
  StartLogging(settings.host, settings.log_level);
  asio::io_context io(thread_count);
  const auto caller = settings.caller.ToString();
  const auto node = settings.node.ToString();
  std::atomic<bool> stopped{false};
  auto driver = driver::NodeDriver::Create(io, std::move(settings), [&] {
    stopped = true;
    io.stop();
  });
  if (!driver) {
    const bool bad_settings =
        driver.error().kind == ErrorKind::kInvalidSettings;
    Log(bad_settings ? LogEvent::kSettingsRefused : LogEvent::kListenFailed,
        {{"why", driver.error().message}});
    return bad_settings ? kBadSettings : kFailure;
  }
  Log(LogEvent::kStarted, {{"callers", caller}, {"node", node}});
  auto work = asio::make_work_guard(io);
  std::vector<std::thread> threads;
  for (int index = 0; index < thread_count; ++index) {
    threads.emplace_back([&io] { io.run(); });
  }
  WaitForStop(**driver, stop_signals, stopped);
  for (auto& thread : threads) {
    thread.join();
  }
  return kSuccess;
}

int Main(int argc, const char** argv) {
  Arguments arguments;
  if (const auto exit_code = ReadArguments(argc, argv, arguments); exit_code) {
    return *exit_code;
  }
  // A peer that closes early is an error code of its write, not a signal.
  std::signal(SIGPIPE, SIG_IGN);
  auto settings = ReadSettings(arguments.settings_file);
  if (!settings) {
    return kBadSettings;
  }
  if (arguments.check_only) {
    std::puts("settings are right");
    return kSuccess;
  }
  if (settings->platform_interface == PlatformInterface::kStore) {
    return ServeWithStore(*settings, arguments.settings_file);
  }
  return Serve(std::move(*settings));
}

}  // namespace

}  // namespace agaterun

int main(int argc, const char** argv) {
  return agaterun::Main(argc, argv);
}
