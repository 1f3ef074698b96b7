#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

namespace {

// A prefix ends at a path segment, so that /draft does not match /drafts.
bool MatchesPrefix(std::string_view path, std::string_view prefix) {
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() ||
         path[prefix.size()] == '/' || path[prefix.size()] == '?';
}

}  // namespace

std::shared_ptr<const ServiceState> TicketState::FindService(
    std::string_view name) const {
  const auto item = this->items.find("service " + std::string(name));
  if (item == this->items.end()) {
    return nullptr;
  }
  return item->second.service;
}

const RouteState* FindRoute(const ServiceState& service,
                            std::string_view method,
                            std::string_view path) {
  const RouteState* best = nullptr;
  const auto rank = [](const RouteState& route) {
    return 2 * route.path_prefix.size() + (route.method == "*" ? 0 : 1);
  };
  for (const auto& route : service.routes) {
    if (route.method != "*" && route.method != method) {
      continue;
    }
    if (!MatchesPrefix(path, route.path_prefix)) {
      continue;
    }
    if (best == nullptr || rank(route) > rank(*best)) {
      best = &route;
    }
  }
  return best;
}

}  // namespace agaterun::decision
