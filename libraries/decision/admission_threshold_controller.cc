#include "libraries/decision/admission_threshold_controller.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kWindow = 50ms;

// Factor by which the counts decay at the end of each window. At 100 calls per
// second a window sees about 5; decay over windows makes that a base of about
// 50.
constexpr double kWindowDecay = 0.9;

// Admits slightly more than was started, so that slots do not run idle.
constexpr double kHeadroom = 1.05;

// Below this utilization the level rises at an increasing rate, because the
// overload that lowered it is over.
constexpr double kIdleUtilization = 0.7;

// Below this utilization the level rises one step at a time. At or above it the
// slots count as full, and the absence of overload only shows that the level is
// effective.
constexpr double kFullUtilization = 0.95;

// Windows between such steps. The load that a step adds is visible here only
// after the origins have received the new threshold and the admitted requests
// have passed through the whole path.
constexpr int kWindowsPerStep = 4;

// Windows without an event after which the counts have decayed to nothing and
// the state is reset.
constexpr int kExpiryWindows = 64;

}  // namespace

void AdmissionThresholdController::OnArrival(Instant now,
                                             Importance importance,
                                             std::uint16_t key) {
  this->Advance(now);
  const int slice =
      std::min<int>(key, kAdmissionKeys - 1) / (kAdmissionKeys / kSlices);
  const auto index = static_cast<int>(importance) * kSlices + slice;
  this->arrivals.at(static_cast<std::size_t>(index)) += 1;
}

void AdmissionThresholdController::OnStart(Instant now) {
  this->Advance(now);
  this->starts += 1;
}

void AdmissionThresholdController::OnRunning(Instant now,
                                             int running,
                                             int limit) {
  this->Advance(now);
  this->utilization =
      limit > 0 ? std::min(1.0, static_cast<double>(running) / limit) : 1.0;
}

void AdmissionThresholdController::OnOverload(Instant now,
                                              Importance importance,
                                              std::uint16_t key) {
  this->Advance(now);
  // Requests that arrived before the level was lowered may still be waiting and
  // then time out. Counting them would lower the level twice for one overload.
  if (Admits(this->CurrentThreshold(), importance, key)) {
    this->overloaded = true;
  }
}

void AdmissionThresholdController::OnShed(Instant now) {
  this->Advance(now);
  this->overloaded = true;
}

AdmissionThreshold AdmissionThresholdController::Threshold(Instant now) {
  this->Advance(now);
  return this->CurrentThreshold();
}

AdmissionThreshold AdmissionThresholdController::CurrentThreshold() const {
  if (this->level == kLevels) {
    return AdmissionThreshold{};
  }
  // The level is never zero: some requests are always admitted as a probe.
  const int last = this->level - 1;
  const int keys = (last % kSlices + 1) * (kAdmissionKeys / kSlices);
  return AdmissionThreshold{.cutoff = static_cast<Importance>(last / kSlices),
                            .keys = static_cast<std::uint16_t>(keys)};
}

void AdmissionThresholdController::Advance(Instant now) {
  if (now - this->window_end > kExpiryWindows * kWindow) {
    const double capacity = this->capacity;
    const double utilization = this->utilization;
    *this = AdmissionThresholdController{};
    this->capacity = capacity;
    this->utilization = utilization;
    this->window_end = now + kWindow;
    this->utilized_time_until = now;
    return;
  }
  while (now >= this->window_end) {
    this->AddUtilizedTime(this->window_end);
    this->CloseWindow();
    this->window_end += kWindow;
  }
  this->AddUtilizedTime(now);
}

void AdmissionThresholdController::AddUtilizedTime(Instant now) {
  this->utilized_time += std::chrono::duration_cast<Duration>(
      (now - this->utilized_time_until) * this->utilization);
  this->utilized_time_until = now;
}

void AdmissionThresholdController::CloseWindow() {
  if (this->overloaded) {
    this->LowerLevel();
  } else if (this->level < kLevels) {
    this->RaiseLevel();
  }
  this->overloaded = false;
  this->utilized_time = Duration{};
  this->starts *= kWindowDecay;
  for (auto& count : this->arrivals) {
    count *= kWindowDecay;
  }
}

void AdmissionThresholdController::LowerLevel() {
  // Selects the level up to which the arrivals match what could be started. It
  // is reached in a single step, whatever the size of the surge: a gradual
  // descent would take longer than the queue can absorb.
  this->raise_step = 1;
  // Requests that started together also end together, and in between none
  // starts. During such gaps the average capacity of the slots is the better
  // measure.
  const double sustained =
      this->capacity * ToSeconds(kWindow) / (1 - kWindowDecay);
  const double budget = std::max(this->starts, sustained) * kHeadroom;
  double admitted = 0;
  int fitting_slices = 0;
  while (fitting_slices < kLevels) {
    admitted += this->arrivals.at(static_cast<std::size_t>(fitting_slices));
    if (admitted > budget) {
      break;
    }
    ++fitting_slices;
  }
  // A class is cut only after all classes below it are fully refused: the
  // counts of a few requests are too coarse to justify both in one step.
  const int min_level = (this->level - 1) / kSlices * kSlices;
  this->level = std::clamp(fitting_slices, std::max(1, min_level), this->level);
}

void AdmissionThresholdController::RaiseLevel() {
  // Requests that are refused at the origin are not seen here, so the demand
  // above the level is unknown. Only free slots show that more requests can be
  // admitted.
  ++this->windows_since_raise;
  const double window_utilization =
      ToSeconds(this->utilized_time) / ToSeconds(kWindow);
  if (window_utilization < kIdleUtilization) {
    // Doubling the step restores all levels within seven windows.
    this->level = std::min(kLevels, this->level + this->raise_step);
    this->raise_step = std::min(kLevels, this->raise_step * 2);
    this->windows_since_raise = 0;
    return;
  }
  if (window_utilization >= kFullUtilization) {
    this->raise_step = 1;
    return;
  }
  if (this->windows_since_raise >= kWindowsPerStep) {
    // Within one class the demand is proportional to the admitted slices. A
    // step without effect has reached a class without demand, so the next step
    // is twice as long.
    const int slices_in_class = (this->level - 1) % kSlices + 1;
    const auto fitting_slices = static_cast<int>(
        slices_in_class * kFullUtilization / window_utilization);
    const int step =
        std::max(this->raise_step, fitting_slices - slices_in_class);
    this->level = std::min(kLevels, this->level + step);
    this->raise_step = std::min(kLevels, this->raise_step * 2);
    this->windows_since_raise = 0;
  }
}

}  // namespace agaterun::decision
