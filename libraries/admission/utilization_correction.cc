#include "libraries/admission/utilization_correction.h"

#include <algorithm>

#include "libraries/base/freshness.h"

namespace agaterun::admission {

namespace {

// Planned slots become used ones after about one request time. The averages
// cover more than that.
constexpr Duration kAverageHalfLife = 700ms;

// Overcommitment increases slowly, so that a surge which has been planned for
// but hasn't reached the slots yet has little effect. It decreases quickly.
constexpr Duration kIncreaseHalfLife = 1500ms;
constexpr Duration kDecreaseHalfLife = 200ms;

constexpr double kMaxOvercommit = 4;

// Overcommitment is allowed in full up to the first utilization, not at all
// from the second one on, and by linear interpolation in between.
constexpr double kOvercommitFadeStart = 0.75;
constexpr double kOvercommitFadeEnd = 0.95;

// Fewer slots than these are too few to compare.
constexpr double kMinPlanned = 1;
constexpr double kMinUsed = 0.1;

double TargetOvercommit(double utilization, double planned, double used) {
  if (planned < kMinPlanned || used >= planned) {
    return 1;
  }
  // Requests that find no free slot fail early too, and would make the service
  // look underused. So a service with full slots is never overcommitted.
  const double allowed =
      std::clamp((kOvercommitFadeEnd - utilization) /
                     (kOvercommitFadeEnd - kOvercommitFadeStart),
                 0.0, 1.0);
  const double planned_per_used =
      std::min(planned / std::max(used, kMinUsed), kMaxOvercommit);
  return 1 + (planned_per_used - 1) * allowed;
}

}  // namespace

void UtilizationCorrection::AddSample(Instant now,
                                      std::string_view service,
                                      const Sample& sample) {
  auto found = this->averages.find(service);
  if (found == this->averages.end()) {
    found =
        this->averages
            .emplace(std::string(service), ServiceAverages{.last_update = now})
            .first;
  }
  auto& average = found->second;
  const auto elapsed = now - average.last_update;
  average.last_update = now;
  const double old_weight = Freshness(elapsed, kAverageHalfLife);
  average.planned =
      old_weight * average.planned + (1 - old_weight) * sample.planned;
  average.used = old_weight * average.used + (1 - old_weight) * sample.used;
  const double utilization =
      sample.capacity > 0 ? sample.used / sample.capacity : 1;
  const double target =
      TargetOvercommit(utilization, average.planned, average.used);
  const double old_factor_weight =
      Freshness(elapsed, target > average.overcommit ? kIncreaseHalfLife
                                                     : kDecreaseHalfLife);
  average.overcommit =
      old_factor_weight * average.overcommit + (1 - old_factor_weight) * target;
}

double UtilizationCorrection::OvercommitOf(std::string_view service) const {
  const auto found = this->averages.find(service);
  return found == this->averages.end() ? 1 : found->second.overcommit;
}

}  // namespace agaterun::admission
