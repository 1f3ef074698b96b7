#ifndef LIBRARIES_BASE_SETTINGS_H_
#define LIBRARIES_BASE_SETTINGS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/base/ini_fault.h"
#include "libraries/base/log_event.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"

namespace agaterun {

// What the platform publishes.
enum class PlatformInterface {
  kTickets,  // Change tickets and a list of hosts.
  kStore,    // One configuration and endpoints, in a key-value store.
};

inline constexpr std::array kPlatformInterfaceNames = {
    EnumName<PlatformInterface>{PlatformInterface::kTickets, "tickets"},
    EnumName<PlatformInterface>{PlatformInterface::kStore, "store"},
};

// Settings of one agaterund process, from its INI file.
struct NodeSettings {
  // [node]
  std::string host;  // Name in logs.
  std::string region;
  std::string failure_domain;
  // `failure_domains`: names of all that have nodes; optional.
  std::size_t failure_domain_count = 1;
  NodeAddress node;                // `address`: for other nodes, TCP and UDP.
  std::vector<NodeAddress> seeds;  // `seeds`: nodes to ask first; optional.
  int threads = 2;
  // `memory_mb`: what the process may take, in millions of bytes; optional.
  // With `interface = store`, it bounds the responses that are held.
  std::optional<std::size_t> memory_bytes;
  LogLevel log_level = LogLevel::kInfo;

  // [caller]
  NodeAddress caller;  // `address`: for outside callers.
  std::size_t caller_connections = 1024;
  std::size_t body_bytes = 1024 * 1024;

  // [backend_server], optional: a node without one only passes calls on.
  std::string service;
  std::optional<NodeAddress> backend_server;  // `address`
  std::optional<NodeAddress> nested;  // `nested_address`: for nested calls.

  // [platform]
  NodeAddress platform;  // `address`
  PlatformInterface platform_interface = PlatformInterface::kTickets;

  // [probe], required with `interface = store`: whether this process takes
  // requests, its counters and its state.
  NodeAddress probe;  // `address`

  // [metrics], optional with `interface = store`: the same on an address that
  // does not change, for whoever gathers counters.
  std::optional<NodeAddress> metrics;  // `address`

  // [repeats], optional: what all nodes together may send again to a service
  // within a window, per request and beyond.
  double retry_ratio = 0.1;
  double extra_retries = 0;
  Duration retry_window = 10s;

  // [quotas], optional: requests of a client account in any `window`, of all
  // nodes together, are at most (rate x window + burst) x (1 + `overage`) +
  // `slack`.
  Duration quota_window = 5s;
  double quota_overage = 0.25;
  double quota_slack = 20;

  // [keys], optional.
  // `strict`: without news from the platform for `max_age`, requests that need
  // a key are refused, since it may have been removed.
  bool strict_keys = false;
  Duration max_key_age = 5s;

  // [stop], optional.
  Duration stop_grace = 6s;  // `grace`: from the signal until a kill.

  // [experiment], optional: `disabled`, names of decision::Mechanism, to
  // measure what each is worth.
  std::vector<std::string> disabled_mechanisms;

  // [operator]
  NodeAddress operator_address;  // `address`: administration API.
};

// One fault of a settings file.
using SettingsFault = IniFault;

// Checks settings whole: returns all faults, unknown sections and keys, repeats
// and two listeners on one address included.
tl::expected<NodeSettings, std::vector<SettingsFault>> ParseSettings(
    std::string_view text);

// One fault as a line: "FILE:LINE: [section] key: message".
std::string Describe(const SettingsFault& fault, std::string_view file);

}  // namespace agaterun

#endif  // LIBRARIES_BASE_SETTINGS_H_
