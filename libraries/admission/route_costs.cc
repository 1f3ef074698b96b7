#include "libraries/admission/route_costs.h"

#include <algorithm>

namespace agaterun::admission {

namespace {

// Number of requests in the window of the moving averages. The requests before
// it is full have equal weights, so that one slow first request doesn't
// dominate.
constexpr int kRemembered = 20;

constexpr std::size_t kMostRoutes = 4096;
constexpr std::size_t kMostServices = 64;

Duration Blend(Duration mean, Duration sample, int samples) {
  return mean + (sample - mean) / samples;
}

}  // namespace

RouteCosts::Costs* RouteCosts::At(std::string_view route) {
  const std::string name(route);
  if (const auto found = this->routes.find(name); found != this->routes.end()) {
    return &found->second;
  }
  if (this->routes.size() >= kMostRoutes) {
    this->routes.clear();
  }
  return &this->routes[name];
}

void RouteCosts::Learn(std::string_view route,
                       const std::vector<decision::ServiceCost>& sample,
                       Duration latency,
                       bool succeeded) {
  auto& costs = *this->At(route);
  if (!succeeded && costs.samples > 0 && !costs.from_failures) {
    return;
  }
  if (succeeded && costs.from_failures) {
    costs.services.clear();
    costs.samples = 0;
  }
  costs.from_failures = !succeeded;
  costs.samples = std::min(costs.samples + 1, kRemembered);
  costs.latency = Blend(costs.latency, latency, costs.samples);
  for (auto& known : costs.services) {
    const auto found = std::find_if(sample.begin(), sample.end(),
                                    [&](const decision::ServiceCost& cost) {
                                      return cost.service == known.service;
                                    });
    known.slot_time = Blend(
        known.slot_time, found == sample.end() ? Duration{} : found->slot_time,
        costs.samples);
  }
  for (const auto& cost : sample) {
    const bool is_known = std::any_of(
        costs.services.begin(), costs.services.end(),
        [&](const auto& known) { return known.service == cost.service; });
    if (!is_known && costs.services.size() < kMostServices) {
      costs.services.push_back(
          {.service = cost.service,
           .slot_time = Blend(Duration{}, cost.slot_time, costs.samples)});
    }
  }
}

void RouteCosts::NoteDeadline(std::string_view route, Duration left) {
  auto& costs = *this->At(route);
  costs.longest_deadline = std::max(costs.longest_deadline, left);
}

const RouteCosts::Costs* RouteCosts::Find(std::string_view route) const {
  const auto found = this->routes.find(std::string(route));
  return found == this->routes.end() ? nullptr : &found->second;
}

}  // namespace agaterun::admission
