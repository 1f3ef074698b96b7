#ifndef LIBRARIES_ROUTING_CONFIGURATION_H_
#define LIBRARIES_ROUTING_CONFIGURATION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/base/time.h"

namespace agaterun::routing {

// How often a request may run, and what its response is like.
enum class RequestKind : std::uint8_t {
  kIdempotent,  // May run several times.
  kAtMostOnce,  // May run at most once per attempt of its caller.
  kDownload,    // Idempotent, with a large response.
};

inline constexpr std::array kRequestKindNames = {
    EnumName<RequestKind>{RequestKind::kIdempotent, "idempotent"},
    EnumName<RequestKind>{RequestKind::kAtMostOnce, "at-most-once"},
    EnumName<RequestKind>{RequestKind::kDownload, "download"},
};

// A service of a route and its weight in the distribution of the route's
// requests.
struct WeightedService {
  std::string service;
  int weight = 1;
};

// Rules for the requests to one host and path prefix.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kAtMostOnce;
  Duration timeout = 1s;         // Maximum time until the final response.
  Duration target_latency = 1s;  // Responses within it are in time.
  int priority = 0;              // 0 is the most important.
  int max_endpoints = 1;         // Limit of endpoints that may run a request.
  std::vector<WeightedService> services;
  // Whether requests need the key of a client account, if there are accounts.
  bool requires_key = true;

  bool IsIdempotent() const { return this->kind != RequestKind::kAtMostOnce; }
};

struct ServiceSettings {
  std::string health_path;
  int connections = 1;  // Connections that one endpoint accepts.
};

// A customer whose callers authenticate with keys. The limits are for the whole
// fleet.
struct ClientAccount {
  std::string name;
  std::vector<std::string> keys;
  int priority = 0;  // 0 is the most important; precedes the route's priority.
  double requests_per_second = 0;  // 0 means that there is no limit.
  double burst = 0;                // Requests beyond the rate.

  bool HasLimit() const { return this->requests_per_second > 0; }
};

// Size limits of a caller's requests, and timeouts of its connection.
struct CallerLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

// The complete configuration in force, with its version number.
struct Configuration {
  std::uint64_t version = 0;  // Larger is newer; 0 means no configuration.
  std::vector<Route> routes;
  std::map<std::string, ServiceSettings, std::less<>> services;
  CallerLimits limits;
  // Without accounts, requests need no key.
  std::vector<ClientAccount> accounts;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_CONFIGURATION_H_
