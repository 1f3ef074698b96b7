#include "libraries/retries/retry_quota.h"

namespace agaterun::retries {

namespace {

constexpr Duration kSlice = 100ms;

// Retries arrive at their endpoint slightly later than they are counted here,
// so that a window there can contain retries of two windows here. This fraction
// of the limit leaves a margin for them.
constexpr double kSafeShare = 0.9;

}  // namespace

RetryQuota::Account& RetryQuota::AccountOf(Instant now,
                                               std::string_view service) {
  auto found = this->accounts.find(service);
  if (found == this->accounts.end()) {
    found = this->accounts.emplace(std::string(service), Account{}).first;
  }
  auto& account = found->second;
  const auto forget = [&](std::deque<Event>& events, double& sum) {
    while (!events.empty() &&
           now - events.front().instant > this->options.window) {
      sum -= events.front().amount;
      events.pop_front();
    }
  };
  forget(account.requests, account.requests_in_window);
  forget(account.repeats, account.repeats_in_window);
  return account;
}

void RetryQuota::AddRequest(Instant now, std::string_view service) {
  auto& account = this->AccountOf(now, service);
  account.requests_in_window += 1;
  if (!account.requests.empty() &&
      now - account.requests.back().instant < kSlice) {
    account.requests.back().amount += 1;
    return;
  }
  account.requests.push_back({.instant = now, .amount = 1});
}

bool RetryQuota::Take(Instant now, std::string_view service, double cost) {
  auto& account = this->AccountOf(now, service);
  const double allowed =
      kSafeShare * (this->options.ratio * account.requests_in_window +
                    this->options.extra / this->nodes);
  if (account.repeats_in_window + cost > allowed) {
    return false;
  }
  account.repeats_in_window += cost;
  account.repeats.push_back({.instant = now, .amount = cost});
  return true;
}

}  // namespace agaterun::retries
