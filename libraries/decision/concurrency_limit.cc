#include "libraries/decision/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace agaterun::decision {

namespace {

// A probe changes the limit by this part of itself.
constexpr double kProbeStep = 0.5;

// The published slots may be wrong by this factor either way.
constexpr int kMaxSlotsErrorFactor = 2;

constexpr int kMinSamples = 16;

// A probe without a verdict by then ends without one.
constexpr int kMaxSamples = 100;

// Standard errors that a verdict must stand clear by.
constexpr double kConfidenceErrors = 2;

// Growth of own time per growth of the limit that tells flat from steep; the
// two ideal cases are 0 and 1.
constexpr double kSteepSlope = 0.5;

// Own time can grow with the limit at most in proportion. Far more than that
// means that the backend server changed in between.
constexpr double kMaxPlausibleSlope = 2.5;

// Own times up to this multiple of the unloaded one are normal.
constexpr double kNormalRatio = 1.15;

// A limit that is too high by kMaxSlotsErrorFactor makes own times grow by so
// much at most. Longer ones have another cause, which a lower limit would not
// cure.
constexpr double kMinTooHighRatio = 1.3;
constexpr double kMaxTooHighRatio = 2.2;

// One request in so many that misses its deadline while it runs is too much.
constexpr int kAbortedDivisor = 4;

constexpr Duration kMinProbeInterval = 500ms;
constexpr Duration kMaxProbeInterval = 8s;

// A probe that demand does not fill ends after this time.
constexpr Duration kProbeTimeout = 3s;

// Without pressure for so long, what was learned is taken as outdated.
constexpr Duration kUnsaturatedTimeout = 30s;

// A rest lasts at least so many own times, since a probe takes a few of them.
constexpr int kProbeIntervalOwnTimes = 10;

// A rest ends when own time falls to this part of what it was.
constexpr double kRecoveredRatio = 0.7;

constexpr Duration kShedInterval = 100ms;
constexpr double kShedFactor = 0.9;

// Requests that the unloaded own time is taken over, and the fewest of them.
constexpr int kMaxUnloadedSamples = 64;
constexpr int kMinUnloadedSamples = 32;

// Own times of a new limit show after the requests of the old one are gone.
constexpr int kSettlingOwnTimes = 2;

// Own times of a trigger that is over must not hold up the way back.
constexpr Duration kMaxSettlingTime = 1s;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(Options options)
    : options(options),
      base(std::max(1, options.slots)),
      limit(std::max(1, options.slots)),
      probe_interval(kMinProbeInterval) {}

void ConcurrencyLimit::SetSlots(int slots) {
  if (slots == this->options.slots) {
    return;
  }
  this->options.slots = slots;
  this->Restart();
}

void ConcurrencyLimit::Restart() {
  *this = ConcurrencyLimit(this->options);
}

int ConcurrencyLimit::HigherLimit() const {
  const int step =
      std::max(1, static_cast<int>(std::lround(this->base * kProbeStep)));
  return std::min(this->base + step,
                  this->options.slots * kMaxSlotsErrorFactor);
}

int ConcurrencyLimit::LowerLimit() const {
  const int min_limit =
      (this->options.slots + kMaxSlotsErrorFactor - 1) / kMaxSlotsErrorFactor;
  const int stepped_limit =
      static_cast<int>(std::lround(this->base / (1 + kProbeStep)));
  return std::max({1, min_limit, std::min(stepped_limit, this->base - 1)});
}

void ConcurrencyLimit::OnFinished(Instant now, Duration own_time, int running) {
  if (!this->options.adaptive) {
    return;
  }
  const double seconds = ToSeconds(own_time);
  if (running * 2 <= this->limit) {
    this->AddUnloaded(seconds);
  }
  if (running < this->limit) {
    this->OnUnsaturated(now);
    return;
  }
  this->last_saturated = now;
  if (now < this->settled_at) {
    return;
  }
  auto& sample =
      this->phase == Phase::kHold ? this->base_sample : this->probe_sample;
  sample.Add(seconds);
  // Requests that were started together end together. A sample that spans one
  // own time has seen all of such a round, not only its quick part.
  if (sample.Count() < kMinSamples ||
      ToSeconds(now - this->settled_at) < sample.Mean()) {
    return;
  }
  switch (this->phase) {
    case Phase::kHold:
      this->EndHold(now);
      break;
    case Phase::kAbove:
      this->EndAbove(now);
      break;
    case Phase::kBelow:
      this->EndBelow(now);
      break;
  }
}

void ConcurrencyLimit::AddUnloaded(double seconds) {
  this->unloaded_count =
      std::min(this->unloaded_count + 1, kMaxUnloadedSamples);
  this->unloaded_mean += (seconds - this->unloaded_mean) / this->unloaded_count;
}

double ConcurrencyLimit::Unloaded() const {
  return this->unloaded_count < kMinUnloadedSamples ? 0 : this->unloaded_mean;
}

void ConcurrencyLimit::OnAborted(Instant now, Duration own_time, int running) {
  if (!this->options.adaptive || running < this->limit ||
      now < this->settled_at) {
    return;
  }
  if (this->phase == Phase::kAbove) {
    // Requests cut off at their deadline make own time look flat.
    this->ScheduleNextProbe(now);
    return;
  }
  this->aborted += this->phase == Phase::kHold ? 1 : 0;
  this->OnFinished(now, own_time, running);
}

void ConcurrencyLimit::OnUnsaturated(Instant now) {
  // The limit does not bind: there is nothing to learn about it.
  if (this->phase != Phase::kHold && now - this->settled_at > kProbeTimeout) {
    this->ScheduleNextProbe(now);
  }
  if (now - this->last_saturated > kUnsaturatedTimeout) {
    const double mean = this->unloaded_mean;
    const int count = this->unloaded_count;
    this->Restart();
    this->unloaded_mean = mean;
    this->unloaded_count = count;
    this->last_saturated = now;
  }
}

void ConcurrencyLimit::Settle(Instant now, double own_seconds) {
  const auto settling = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kSettlingOwnTimes * own_seconds));
  this->settled_at = now + std::min(settling, kMaxSettlingTime);
}

void ConcurrencyLimit::EnterHold(Instant now) {
  // The probe saw the later own times.
  this->Settle(now, this->probe_sample.Count() > 0 ? this->probe_sample.Mean()
                                                   : this->base_sample.Mean());
  this->phase = Phase::kHold;
  this->limit = this->base;
  this->base_sample = {};
  this->probe_sample = {};
  this->aborted = 0;
}

void ConcurrencyLimit::EnterProbe(Instant now, Phase phase) {
  this->Settle(now, this->base_sample.Mean());
  this->phase = phase;
  this->limit =
      phase == Phase::kAbove ? this->HigherLimit() : this->LowerLimit();
  this->probe_sample = {};
}

void ConcurrencyLimit::ScheduleNextProbe(Instant now) {
  // A knee that was found is tested again ever less often, since each test
  // costs a little; but it never stops being tested.
  const auto min_interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          kProbeIntervalOwnTimes * this->base_sample.Mean()));
  this->next_probe_at = now + std::max(this->probe_interval, min_interval);
  this->reference_mean = this->base_sample.Mean();
  this->probe_interval = std::min(kMaxProbeInterval, this->probe_interval * 2);
  this->EnterHold(now);
}

ConcurrencyLimit::Verdict ConcurrencyLimit::Compare(
    const OwnTimeSample& low,
    const OwnTimeSample& high) const {
  const double step =
      std::abs(static_cast<double>(this->limit) / this->base - 1);
  if (low.Mean() <= 0 || step == 0) {
    return Verdict::kUndecided;
  }
  const double ratio = high.Mean() / low.Mean();
  const double slope = (ratio - 1) / step;
  const double error =
      ratio * std::sqrt(low.RelativeVariance() + high.RelativeVariance()) /
      step * kConfidenceErrors;
  if (std::abs(slope) - error > kMaxPlausibleSlope) {
    return Verdict::kChanged;
  }
  if (slope + error < kSteepSlope) {
    return Verdict::kFlat;
  }
  if (slope - error > kSteepSlope) {
    return Verdict::kSteep;
  }
  return Verdict::kUndecided;
}

void ConcurrencyLimit::EndHold(Instant now) {
  if (this->base_sample.Count() >= kMaxSamples) {
    // Old values would hide a change of the backend server.
    this->base_sample = {};
    this->aborted = 0;
    return;
  }
  // Below the published slots with normal own times, the limit goes up without
  // a probe: it must rise as fast as it fell, and here nothing is at risk.
  if (this->base<this->options.slots&& this->Unloaded()> 0 &&
      this->base_sample.Mean() <= kNormalRatio * this->Unloaded()) {
    this->base = std::min(this->options.slots, this->HigherLimit());
    this->probe_interval = kMinProbeInterval;
    this->EnterHold(now);
    return;
  }
  // A verdict on a slow backend server says nothing once it is quick again.
  const bool is_faster =
      this->base_sample.Mean() < kRecoveredRatio * this->reference_mean;
  if (is_faster) {
    this->probe_interval = kMinProbeInterval;
    this->reference_mean = 0;
    this->next_probe_at = now;
    this->base = std::max(this->base, this->options.slots);
    // This sample still mixes slow requests with quick ones.
    this->EnterHold(now);
    return;
  }
  if (now < this->next_probe_at) {
    return;
  }
  if (this->MayBeTooHigh(this->base_sample) &&
      this->LowerLimit() < this->base) {
    this->EnterProbe(now, Phase::kBelow);
  } else if (this->HigherLimit() > this->base) {
    this->EnterProbe(now, Phase::kAbove);
  }
}

bool ConcurrencyLimit::MayBeTooHigh(const OwnTimeSample& sample) const {
  if (this->aborted * kAbortedDivisor > sample.Count()) {
    return true;
  }
  if (this->Unloaded() <= 0) {
    return false;
  }
  const double ratio = sample.Mean() / this->Unloaded();
  const double error = kConfidenceErrors * std::sqrt(sample.RelativeVariance());
  return ratio * (1 - error) >= kMinTooHighRatio && ratio <= kMaxTooHighRatio;
}

bool ConcurrencyLimit::IsNormal(const OwnTimeSample& sample) const {
  const double error = std::sqrt(sample.RelativeVariance());
  return this->Unloaded() > 0 &&
         sample.Mean() * (1 + error) <= kNormalRatio * this->Unloaded();
}

void ConcurrencyLimit::EndAbove(Instant now) {
  const bool has_max_samples = this->probe_sample.Count() >= kMaxSamples;
  const auto verdict =
      this->IsNormal(this->probe_sample)
          ? Verdict::kFlat
          : this->Compare(this->base_sample, this->probe_sample);
  switch (verdict) {
    case Verdict::kFlat:
      this->base = this->limit;
      this->base_sample = this->probe_sample;
      this->probe_interval = kMinProbeInterval;
      if (this->HigherLimit() > this->base) {
        this->EnterProbe(now, Phase::kAbove);
      } else {
        this->ScheduleNextProbe(now);
      }
      return;
    case Verdict::kSteep:
    case Verdict::kChanged:
      this->ScheduleNextProbe(now);
      return;
    case Verdict::kUndecided:
      if (has_max_samples) {
        this->ScheduleNextProbe(now);
      }
      return;
  }
}

void ConcurrencyLimit::EndBelow(Instant now) {
  const bool has_max_samples = this->probe_sample.Count() >= kMaxSamples;
  switch (this->Compare(this->probe_sample, this->base_sample)) {
    case Verdict::kSteep:
      this->base = this->limit;
      this->reference_mean = this->probe_sample.Mean();
      this->probe_interval = kMinProbeInterval;
      this->EnterHold(now);
      return;
    case Verdict::kFlat:
    case Verdict::kChanged:
      this->ScheduleNextProbe(now);
      return;
    case Verdict::kUndecided:
      if (has_max_samples) {
        this->ScheduleNextProbe(now);
      }
      return;
  }
}

void ConcurrencyLimit::OnShed(Instant now) {
  if (!this->options.adaptive || now - this->last_shed < kShedInterval) {
    return;
  }
  this->last_shed = now;
  const int min_limit =
      (this->options.slots + kMaxSlotsErrorFactor - 1) / kMaxSlotsErrorFactor;
  this->base = std::max(
      {1, min_limit, static_cast<int>(std::floor(this->base * kShedFactor))});
  this->probe_interval = kMinProbeInterval;
  this->ScheduleNextProbe(now);
}

}  // namespace agaterun::decision
