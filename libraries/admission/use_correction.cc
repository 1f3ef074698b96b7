#include "libraries/admission/use_correction.h"

#include <algorithm>

#include "libraries/base/freshness.h"

namespace agaterun::admission {

namespace {

// Planned slots become used ones after about one request time. The averages
// cover more than that.
constexpr Duration kMeanHalfLife = 700ms;

// Overcommitment increases slowly, so that a surge which has been planned for
// but hasn't reached the slots yet has little effect. It decreases quickly.
constexpr Duration kOpeningHalfLife = 1500ms;
constexpr Duration kClosingHalfLife = 200ms;

constexpr double kMostStretch = 4;

// Overcommitment is allowed in full up to the first utilization, not at all
// from the second one on, and by linear interpolation in between.
constexpr double kFree = 0.75;
constexpr double kFull = 0.95;

// Fewer slots than these are too few to compare.
constexpr double kLeastPlanned = 1;
constexpr double kLeastUsed = 0.1;

double WantedStretch(double use, double planned, double used) {
  if (planned < kLeastPlanned || used >= planned) {
    return 1;
  }
  // Requests that find no free slot fail early too, and would make the service
  // look underused. So a service with full slots is never overcommitted.
  const double free = std::clamp((kFull - use) / (kFull - kFree), 0.0, 1.0);
  const double unused =
      std::min(planned / std::max(used, kLeastUsed), kMostStretch);
  return 1 + (unused - 1) * free;
}

}  // namespace

void UseCorrection::Note(Instant now,
                         std::string_view service,
                         const Use& use) {
  auto found = this->accounts.find(service);
  if (found == this->accounts.end()) {
    found = this->accounts.emplace(std::string(service), Account{.noted = now})
                .first;
  }
  auto& account = found->second;
  const auto elapsed = now - account.noted;
  account.noted = now;
  const double kept = Freshness(elapsed, kMeanHalfLife);
  account.planned = kept * account.planned + (1 - kept) * use.planned;
  account.used = kept * account.used + (1 - kept) * use.used;
  const double part_used = use.there > 0 ? use.used / use.there : 1;
  const double wanted = WantedStretch(part_used, account.planned, account.used);
  const double stays = Freshness(
      elapsed, wanted > account.stretch ? kOpeningHalfLife : kClosingHalfLife);
  account.stretch = stays * account.stretch + (1 - stays) * wanted;
}

double UseCorrection::StretchOf(std::string_view service) const {
  const auto found = this->accounts.find(service);
  return found == this->accounts.end() ? 1 : found->second.stretch;
}

}  // namespace agaterun::admission
