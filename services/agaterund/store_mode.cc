#include "services/agaterund/store_mode.h"

#include <malloc.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <utility>

#include "libraries/base/log.h"
#include "libraries/proxy/proxy_node.h"
#include "platform/dialect.h"
#include "platform/store_reader.h"
#include "services/agaterund/settings_file.h"

namespace agaterun {

namespace {

constexpr int kSuccess = 0;
constexpr int kFailure = 1;

// Larger blocks are mapped by themselves and returned to the system when they
// are freed. From the heap, bodies of responses would leave gaps that keep the
// process at several times what it holds.
constexpr int kMinMappedBytes = 256 * 1024;

// The settings may change without a signal.
constexpr Duration kSettingsInterval = 1s;

// Reads the settings file again, on a signal and every now and then.
class SettingsWatch {
 public:
  SettingsWatch(asio::io_context& io, std::string path, proxy::ProxyNode& node)
      : path(std::move(path)), node(node), signals(io, SIGHUP), timer(io) {
    this->text = ReadSettingsText(this->path).value_or("");
    this->WaitForSignal();
    this->WaitForTime();
  }

 private:
  void WaitForSignal() {
    this->signals.async_wait([this](const std::error_code& error, int) {
      if (!error) {
        this->Check();
        this->WaitForSignal();
      }
    });
  }

  void WaitForTime() {
    this->timer.expires_after(kSettingsInterval);
    this->timer.async_wait([this](const std::error_code& error) {
      if (!error) {
        this->Check();
        this->WaitForTime();
      }
    });
  }

  void Check() {
    const auto now_there = ReadSettingsText(this->path);
    if (!now_there || *now_there == this->text) {
      return;
    }
    this->text = *now_there;
    const auto settings = ParseSettings(this->text);
    if (!settings) {
      // What is in force stays, as with a file that a person edits.
      Log(LogEvent::kSettingsRefused,
          {{"why", Describe(settings.error().front(), this->path)}});
      return;
    }
    Log(LogEvent::kSettingsReloaded, {{"service", settings->service}});
    this->node.SetSettings(*settings);
  }

  std::string path;
  std::string text;
  proxy::ProxyNode& node;
  asio::signal_set signals;
  asio::steady_timer timer;
};

}  // namespace

int ServeWithStore(const NodeSettings& settings,
                   const std::string& settings_file) {
  StartLogging(settings.host, settings.log_level);
  mallopt(M_MMAP_THRESHOLD, kMinMappedBytes);
  asio::io_context io(1);
  const auto platform = settings.platform;
  auto node = proxy::ProxyNode::Create(
      io, settings, platform_adapter::MakeDialect(),
      [platform](asio::io_context& io, RandomSource& random,
                 membership::DirectoryObserver& observer) {
        return std::make_unique<platform_adapter::StoreReader>(
            io, platform_adapter::StoreReader::Options{.store = platform},
            random, observer);
      },
      [&io] { io.stop(); });
  if (!node) {
    Log(LogEvent::kListenFailed, {{"why", node.error().message}});
    return kFailure;
  }
  asio::signal_set stop_signals(io, SIGTERM, SIGINT);
  const std::function<void(const std::error_code&, int)> on_stop =
      [&](const std::error_code& error, int) {
        if (!error) {
          (*node)->Stop();
          // A second signal changes nothing: what is in flight is not cut.
          stop_signals.async_wait(on_stop);
        }
      };
  stop_signals.async_wait(on_stop);
  const SettingsWatch watch(io, settings_file, **node);
  Log(LogEvent::kStarted, {{"callers", settings.caller.ToString()},
                           {"node", settings.node.ToString()},
                           {"service", settings.service}});
  io.run();
  return kSuccess;
}

}  // namespace agaterun
