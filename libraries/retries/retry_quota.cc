#include "libraries/retries/retry_quota.h"

#include <algorithm>

namespace agaterun::retries {

namespace {

constexpr Duration kSliceDuration = 100ms;

// What a request has earned may be kept for the window divided by this.
constexpr int kEarningsPerWindow = 20;

// Retries arrive at their endpoint slightly later than they are counted here,
// and a window there can begin with retries that were earned before it. This
// fraction of the limit leaves a margin for both.
constexpr double kSafetyFactor = 0.9;

// Compensates for rounding in sums of earnings.
constexpr double kRoundingTolerance = 1e-9;

}  // namespace

RetryQuota::ServiceUsage::ServiceUsage()
    : requests(kSliceDuration), recent_requests(kSliceDuration) {}

RetryQuota::ServiceUsage& RetryQuota::UsageOf(std::string_view service) {
  const auto found = this->usage_by_service.find(service);
  return found != this->usage_by_service.end()
             ? found->second
             : this->usage_by_service[std::string(service)];
}

RetryQuota::Extra RetryQuota::OwnExtra() const {
  if (this->fleet_size == 0) {
    return {};
  }
  const double part = kSafetyFactor * this->options.extra /
                      static_cast<double>(this->fleet_size);
  // With less than a whole retry to keep, requests at a node that receives few
  // of them would never earn one.
  const double standing = std::min(part, std::max(part / 2, 1.0));
  return {.standing = standing, .per_window = part - standing};
}

RetryQuota::Available RetryQuota::AvailableFor(Instant now,
                                               ServiceUsage& usage) const {
  const auto window = this->options.window;
  const auto extra = this->OwnExtra();
  const double recent =
      usage.recent_requests.Over(now, window / kEarningsPerWindow);
  usage.earned =
      std::min(usage.earned,
               kSafetyFactor * this->options.ratio * recent + extra.standing);
  Available available{.earned = usage.earned};
  const double consumed = usage.extra_retries.Over(now, window);
  // The process before this one may have consumed its extra just before it
  // ended.
  if (now - this->started >= window) {
    available.extra = std::max(0.0, extra.per_window - consumed);
  }
  return available;
}

void RetryQuota::AddRequest(Instant now, std::string_view service) {
  auto& usage = this->UsageOf(service);
  // Discards what is too old to be kept, before more is earned.
  this->AvailableFor(now, usage);
  usage.requests.Add(now, 1);
  usage.recent_requests.Add(now, 1);
  usage.earned += kSafetyFactor * this->options.ratio;
}

bool RetryQuota::TryConsume(Instant now,
                            std::string_view service,
                            double cost) {
  auto& usage = this->UsageOf(service);
  const auto available = this->AvailableFor(now, usage);
  if (cost > available.earned + available.extra + kRoundingTolerance) {
    usage.denied += 1;
    return false;
  }
  const double from_earned = std::min(cost, available.earned);
  usage.earned -= from_earned;
  if (from_earned < cost) {
    usage.extra_retries.Add(now, cost - from_earned);
  }
  usage.retries.Add(now, cost);
  usage.granted += 1;
  return true;
}

std::vector<RetryQuota::Use> RetryQuota::Uses(Instant now) {
  std::vector<Use> uses;
  const auto window = this->options.window;
  for (auto& [service, usage] : this->usage_by_service) {
    const auto available = this->AvailableFor(now, usage);
    uses.push_back({.service = service,
                    .requests = usage.requests.Over(now, window),
                    .retries = usage.retries.Over(now, window),
                    .available = available.earned + available.extra,
                    .granted = usage.granted,
                    .denied = usage.denied});
  }
  return uses;
}

}  // namespace agaterun::retries
