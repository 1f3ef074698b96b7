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

// What may be done with a request beside running it once.
enum class RequestKind : std::uint8_t {
  kIdempotent,  // May run several times.
  kAtMostOnce,  // May run once per attempt of its caller.
  kDownload,    // Idempotent, with a large answer.
};

inline constexpr std::array kRequestKindNames = {
    EnumName<RequestKind>{RequestKind::kIdempotent, "idempotent"},
    EnumName<RequestKind>{RequestKind::kAtMostOnce, "at-most-once"},
    EnumName<RequestKind>{RequestKind::kDownload, "download"},
};

// One service of a route and its part of the route's requests.
struct ServiceShare {
  std::string service;
  int weight = 1;
};

// How requests to one host and path prefix are treated.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // Begins and ends with a slash.
  RequestKind kind = RequestKind::kAtMostOnce;
  Duration timeout = 1s;         // Longest time until the final answer.
  Duration target_latency = 1s;  // Answers within it are in time.
  int priority = 0;              // 0 is the most important.
  int max_endpoints = 1;         // Endpoints that may run one request.
  std::vector<ServiceShare> services;

  bool IsIdempotent() const { return this->kind != RequestKind::kAtMostOnce; }
};

struct ServiceSettings {
  std::string health_path;
  int connections = 1;  // Connections that one endpoint takes.
};

// What a caller may send, and how long it may take.
struct CallerLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
  Duration header_timeout = 3s;
  Duration idle_timeout = 15s;
};

// The whole configuration in force, under one number.
struct Configuration {
  std::uint64_t version = 0;  // Larger is newer; 0 stands for none.
  std::vector<Route> routes;
  std::map<std::string, ServiceSettings, std::less<>> services;
  CallerLimits limits;
};

}  // namespace agaterun::routing

#endif  // LIBRARIES_ROUTING_CONFIGURATION_H_
