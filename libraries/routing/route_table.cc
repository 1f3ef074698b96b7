#include "libraries/routing/route_table.h"

#include <algorithm>
#include <utility>

namespace agaterun::routing {

namespace {

std::string_view PathOf(std::string_view target) {
  return target.substr(0, target.find('?'));
}

}  // namespace

std::string NormalizedHost(std::string_view host) {
  host = host.substr(0, host.find(':'));
  std::string normalized(host);
  for (char& letter : normalized) {
    if (letter >= 'A' && letter <= 'Z') {
      letter = static_cast<char>(letter - 'A' + 'a');
    }
  }
  return normalized;
}

RouteTable::RouteTable(std::shared_ptr<const Configuration> configuration)
    : configuration(std::move(configuration)) {
  for (const auto& route : this->configuration->routes) {
    this->by_host[NormalizedHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::stable_sort(routes.begin(), routes.end(),
                     [](const Route* left, const Route* right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto routes = this->by_host.find(NormalizedHost(host));
  if (routes == this->by_host.end()) {
    return nullptr;
  }
  const auto path = PathOf(target);
  for (const auto* route : routes->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

}  // namespace agaterun::routing
