#include "libraries/decision/admission_threshold_controller.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kWindow = 50ms;

// Share of the counts that one window hands to the next. About 100 calls a
// second give 5 in a window; fading over windows makes 50 of them.
constexpr double kWindowDecay = 0.9;

// Admitted beyond what was started, so that slots never lack work.
constexpr double kHeadroom = 1.05;

// Below this share of slots taken the level rises faster and faster: what held
// it down is over.
constexpr double kIdleUtilization = 0.7;

// Below this share it rises a step at a time. From it on the slots are as good
// as full, and calm only shows that the level does its work.
constexpr double kFullUtilization = 0.95;

// Windows between such steps: what a step lets in is seen here only after the
// entries heard of it and sent it through their whole path.
constexpr int kWindowsPerStep = 4;

// Windows after which nothing of the counts is left.
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
  // Requests that came before the level fell still wait and run out of time.
  // Were they counted, the level would fall twice for one overload.
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
  // The level is never zero: something is always let through, as a probe.
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
  // The level below which as much arrived as could be started. One step does
  // it, whatever the surge: a step by step descent would take longer than
  // the queue can hold.
  this->raise_step = 1;
  // Requests that were started together end together, and for a while none is
  // started at all; what the slots can run on average tells more then.
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
  // A class is cut only once all below it are gone: counts of a few requests
  // are too coarse to say that both steps are needed.
  const int min_level = (this->level - 1) / kSlices * kSlices;
  this->level = std::clamp(fitting_slices, std::max(1, min_level), this->level);
}

void AdmissionThresholdController::RaiseLevel() {
  // What the entry refuses is not seen here, so the demand above the level is
  // unknown; only slots that stand free say that more of it fits.
  ++this->windows_since_raise;
  const double window_utilization =
      ToSeconds(this->utilized_time) / ToSeconds(kWindow);
  if (window_utilization < kIdleUtilization) {
    // Doubling reopens all levels within seven windows.
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
    // Within one class the demand is in proportion to the slices admitted. A
    // step that brought nothing met a class without demand; the next is twice
    // as long.
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
