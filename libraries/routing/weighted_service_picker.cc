#include "libraries/routing/weighted_service_picker.h"

#include <cmath>
#include <cstddef>

namespace agaterun::routing {

namespace {

// The multiples of this number modulo 1 are evenly distributed over [0, 1) from
// any start, so that any sequence of requests is distributed almost exactly by
// the weights.
constexpr double kGoldenRatio = 0.6180339887498949;

constexpr std::size_t kMaxRoutes = 16384;

}  // namespace

const std::string* WeightedServicePicker::Pick(const Route& route) {
  double total = 0;
  for (const auto& share : route.services) {
    total += share.weight;
  }
  if (total <= 0) {
    return nullptr;
  }
  if (route.services.size() == 1) {
    return &route.services.front().service;
  }
  if (this->positions.size() > kMaxRoutes) {
    this->positions.clear();
  }
  // Starts at a random position. Otherwise all nodes would start with the same
  // service.
  const auto [entry, is_new] = this->positions.try_emplace(route.name, 0.0);
  double& position = entry->second;
  position =
      is_new ? this->random.Unit() : std::fmod(position + kGoldenRatio, 1.0);
  double remaining = position * total;
  const WeightedService* last = nullptr;
  for (const auto& share : route.services) {
    if (share.weight <= 0) {
      continue;
    }
    last = &share;
    remaining -= share.weight;
    if (remaining < 0) {
      break;
    }
  }
  return &last->service;
}

}  // namespace agaterun::routing
