#include "libraries/decision/concurrency_limit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace agaterun::decision {

namespace {

// A probe changes the limit by this fraction.
constexpr double kProbeStep = 0.5;

// The published slots may be too high or too low by up to this factor.
constexpr int kMaxSlotsErrorFactor = 2;

constexpr int kMinSamples = 16;

// A probe that is still undecided at this number of samples ends without a
// verdict.
constexpr int kMaxSamples = 100;

// A verdict requires a difference of at least this many standard errors.
constexpr double kConfidenceErrors = 2;

// Relative growth of own time per relative growth of the limit that separates
// flat from steep; the two ideal cases are 0 and 1.
constexpr double kSteepSlope = 0.5;

// Own time can grow at most in proportion to the limit. A much larger
// difference means that the backend server itself changed in between.
constexpr double kMaxPlausibleSlope = 2.5;

// Own times up to this multiple of the unloaded own time count as normal.
constexpr double kNormalRatio = 1.15;

// Range of the ratio of own time to unloaded own time that a limit which is too
// high by up to kMaxSlotsErrorFactor can cause. A higher ratio has another
// cause, which a lower limit would not remedy.
constexpr double kMinTooHighRatio = 1.3;
constexpr double kMaxTooHighRatio = 2.2;

// The limit may be too high if more than one request in this many misses its
// deadline while it runs.
constexpr int kAbortedDivisor = 4;

constexpr Duration kMinProbeInterval = 500ms;
constexpr Duration kMaxProbeInterval = 8s;

// A probe ends after this time if the demand does not saturate the limit.
constexpr Duration kProbeTimeout = 3s;

// After this time without saturation the learned limit is considered outdated.
constexpr Duration kUnsaturatedTimeout = 30s;

// The interval between probes is at least this many own times, since a probe
// itself takes a few of them.
constexpr int kProbeIntervalOwnTimes = 10;

// The next probe is due immediately when own time has fallen below this
// fraction of the reference.
constexpr double kRecoveredRatio = 0.7;

constexpr Duration kShedInterval = 100ms;
constexpr double kShedFactor = 0.9;

// Window of the moving average of the unloaded own time, and the minimum number
// of samples it needs, in requests.
constexpr int kMaxUnloadedSamples = 64;
constexpr int kMinUnloadedSamples = 32;

// Samples are ignored for this many own times after a change of the limit,
// until the requests that started under the old one have ended.
constexpr int kSettlingOwnTimes = 2;

// Bounds the settling time, so that long own times from a past overload do not
// delay recovery.
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
  // Requests that started together end together. A sample that spans at least
  // one own time includes the slow requests of such a group as well as the fast
  // ones.
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
    // Requests that were aborted at their deadline would make own time look
    // flat.
    this->ScheduleNextProbe(now);
    return;
  }
  this->aborted += this->phase == Phase::kHold ? 1 : 0;
  this->OnFinished(now, own_time, running);
}

void ConcurrencyLimit::OnUnsaturated(Instant now) {
  // The limit is not saturated, so these samples say nothing about it.
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
  // The samples of the probe are more recent than those of the base.
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
  // A confirmed knee is tested at increasing intervals, since each probe costs
  // some throughput, but it is never left untested.
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
    // Old samples would hide a change of the backend server.
    this->base_sample = {};
    this->aborted = 0;
    return;
  }
  // Below the published slots with normal own times the limit rises without a
  // probe. It must be able to rise as fast as it fell, and here a rise carries
  // no risk.
  if (this->base<this->options.slots&& this->Unloaded()> 0 &&
      this->base_sample.Mean() <= kNormalRatio * this->Unloaded()) {
    this->base = std::min(this->options.slots, this->HigherLimit());
    this->probe_interval = kMinProbeInterval;
    this->EnterHold(now);
    return;
  }
  // A verdict that was reached while the backend server was slow no longer
  // holds once it is fast again.
  const bool is_faster =
      this->base_sample.Mean() < kRecoveredRatio * this->reference_mean;
  if (is_faster) {
    this->probe_interval = kMinProbeInterval;
    this->reference_mean = 0;
    this->next_probe_at = now;
    this->base = std::max(this->base, this->options.slots);
    // This sample still mixes requests from the slow and the fast phase.
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
