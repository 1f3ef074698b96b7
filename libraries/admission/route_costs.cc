#include "libraries/admission/route_costs.h"

#include <algorithm>

namespace agaterun::admission {

namespace {

// Number of requests in the window of the moving averages. The requests before
// it is full have equal weights, so that one slow first request doesn't
// dominate.
constexpr int kMaxSampleCount = 20;

constexpr std::size_t kMaxRoutes = 4096;
constexpr std::size_t kMaxServices = 64;

Duration UpdatedMean(Duration mean, Duration sample, int sample_count) {
  return mean + (sample - mean) / sample_count;
}

}  // namespace

RouteCosts::Costs* RouteCosts::FindOrCreate(std::string_view route) {
  const std::string name(route);
  if (const auto found = this->routes.find(name); found != this->routes.end()) {
    return &found->second;
  }
  if (this->routes.size() >= kMaxRoutes) {
    this->routes.clear();
  }
  return &this->routes[name];
}

void RouteCosts::RecordCompletion(
    std::string_view route,
    const std::vector<decision::ServiceCost>& service_costs,
    Duration latency,
    bool succeeded) {
  auto& costs = *this->FindOrCreate(route);
  if (!succeeded && costs.sample_count > 0 && !costs.is_from_failures) {
    return;
  }
  if (succeeded && costs.is_from_failures) {
    costs.services.clear();
    costs.sample_count = 0;
  }
  costs.is_from_failures = !succeeded;
  costs.sample_count = std::min(costs.sample_count + 1, kMaxSampleCount);
  costs.latency = UpdatedMean(costs.latency, latency, costs.sample_count);
  for (auto& known : costs.services) {
    const auto found = std::find_if(service_costs.begin(), service_costs.end(),
                                    [&](const decision::ServiceCost& cost) {
                                      return cost.service == known.service;
                                    });
    known.slot_time = UpdatedMean(
        known.slot_time,
        found == service_costs.end() ? Duration{} : found->slot_time,
        costs.sample_count);
  }
  for (const auto& cost : service_costs) {
    const bool is_known = std::any_of(
        costs.services.begin(), costs.services.end(),
        [&](const auto& known) { return known.service == cost.service; });
    if (!is_known && costs.services.size() < kMaxServices) {
      costs.services.push_back(
          {.service = cost.service,
           .slot_time =
               UpdatedMean(Duration{}, cost.slot_time, costs.sample_count)});
    }
  }
}

void RouteCosts::RecordDeadline(std::string_view route, Duration remaining) {
  auto& costs = *this->FindOrCreate(route);
  costs.longest_deadline = std::max(costs.longest_deadline, remaining);
}

const RouteCosts::Costs* RouteCosts::Find(std::string_view route) const {
  const auto found = this->routes.find(std::string(route));
  return found == this->routes.end() ? nullptr : &found->second;
}

}  // namespace agaterun::admission
