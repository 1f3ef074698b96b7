#include "libraries/retries/retry_quota.h"

namespace agaterun::retries {

namespace {

constexpr Duration kSliceDuration = 100ms;

// Retries arrive at their endpoint slightly later than they are counted here,
// so that a window there can contain retries of two windows here. This fraction
// of the limit leaves a margin for them.
constexpr double kSafetyFactor = 0.9;

}  // namespace

RetryQuota::ServiceUsage& RetryQuota::CurrentUsage(Instant now,
                                                   std::string_view service) {
  auto found = this->usage_by_service.find(service);
  if (found == this->usage_by_service.end()) {
    found = this->usage_by_service.emplace(std::string(service), ServiceUsage{})
                .first;
  }
  auto& usage = found->second;
  const auto expire = [&](std::deque<Count>& counts, double& sum) {
    while (!counts.empty() &&
           now - counts.front().time > this->options.window) {
      sum -= counts.front().amount;
      counts.pop_front();
    }
  };
  expire(usage.requests, usage.requests_in_window);
  expire(usage.retries, usage.retries_in_window);
  return usage;
}

void RetryQuota::AddRequest(Instant now, std::string_view service) {
  auto& usage = this->CurrentUsage(now, service);
  usage.requests_in_window += 1;
  if (!usage.requests.empty() &&
      now - usage.requests.back().time < kSliceDuration) {
    usage.requests.back().amount += 1;
    return;
  }
  usage.requests.push_back({.time = now, .amount = 1});
}

double RetryQuota::Limit(const ServiceUsage& usage) const {
  return kSafetyFactor * (this->options.ratio * usage.requests_in_window +
                          this->options.extra / this->fleet_size);
}

bool RetryQuota::TryConsume(Instant now,
                            std::string_view service,
                            double cost) {
  auto& usage = this->CurrentUsage(now, service);
  if (usage.retries_in_window + cost > this->Limit(usage)) {
    usage.denied += 1;
    return false;
  }
  usage.granted += 1;
  usage.retries_in_window += cost;
  usage.retries.push_back({.time = now, .amount = cost});
  return true;
}

std::vector<RetryQuota::Use> RetryQuota::Uses(Instant now) {
  std::vector<Use> uses;
  for (const auto& [service, kept] : this->usage_by_service) {
    const auto& usage = this->CurrentUsage(now, service);
    uses.push_back({.service = service,
                    .requests = usage.requests_in_window,
                    .retries = usage.retries_in_window,
                    .limit = this->Limit(usage),
                    .granted = usage.granted,
                    .denied = usage.denied});
  }
  return uses;
}

}  // namespace agaterun::retries
