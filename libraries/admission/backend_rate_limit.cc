#include "libraries/admission/backend_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace agaterun::admission {

namespace {

// Requests per second before the first response. Together with the first ones
// they stay below what the lowest limits allow.
constexpr double kRateBeforeResponse = 0.5;

// A backend server that states a lower limit, or zero, still gets a request now
// and then, since only a response can end the limit.
constexpr double kMinRate = 0.25;

// Requests may start in bursts of what the rate allows in this time.
constexpr Duration kBurstTime = 200ms;

// Absorbs rounding errors, so that a request may start after its expected wait.
constexpr double kTokenTolerance = 1e-6;

}  // namespace

void BackendRateLimit::SetStatedRate(Instant now,
                                     std::optional<double> per_second) {
  this->tokens = this->TokensAt(now);
  this->updated_at = now;
  this->rate = per_second;
  this->has_response = true;
  this->tokens = std::min(this->tokens, this->Capacity());
}

double BackendRateLimit::PerSecond() const {
  return this->rate ? std::max(kMinRate, *this->rate) : kRateBeforeResponse;
}

double BackendRateLimit::Capacity() const {
  return this->rate ? std::max(1.0, this->PerSecond() * ToSeconds(kBurstTime))
                    : kTokensBeforeResponse;
}

double BackendRateLimit::TokensAt(Instant now) const {
  const double elapsed = ToSeconds(now - this->updated_at);
  return std::min(this->Capacity(), this->tokens + elapsed * this->PerSecond());
}

bool BackendRateLimit::MayStart(Instant now) const {
  return !this->IsLimiting() || this->TokensAt(now) >= 1 - kTokenTolerance;
}

void BackendRateLimit::Started(Instant now) {
  if (!this->IsLimiting()) {
    return;
  }
  this->tokens = this->TokensAt(now) - 1;
  this->updated_at = now;
}

Duration BackendRateLimit::ExpectedWait(Instant now, std::size_t ahead) const {
  if (!this->IsLimiting()) {
    return Duration{};
  }
  const double missing = static_cast<double>(ahead) + 1 - this->TokensAt(now);
  // Rounded up, so that a request that waits for this long may start.
  return missing <= kTokenTolerance
             ? Duration{}
             : Duration(static_cast<std::int64_t>(
                   std::ceil(missing / this->PerSecond() * 1e9)));
}

std::optional<int> BackendRateLimit::Concurrency(Duration service_time) const {
  if (!this->rate) {
    return std::nullopt;
  }
  constexpr double kMaxConcurrency = 1e6;
  const double concurrent =
      std::round(this->PerSecond() * ToSeconds(service_time));
  return static_cast<int>(std::clamp(concurrent, 1.0, kMaxConcurrency));
}

}  // namespace agaterun::admission
