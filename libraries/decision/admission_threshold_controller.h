#ifndef LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_
#define LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_

#include <array>
#include <cstdint>

#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::decision {

// Chooses the threshold that one gate announces, so that what it would refuse
// is refused at the entry of the call graph. Works in fixed windows of time.
class AdmissionThresholdController {
 public:
  // A request came to the gate, whether or not it is admitted.
  void OnArrival(Instant now, Importance importance, std::uint16_t key);

  // A request went to the backend server.
  void OnStart(Instant now);

  // Requests per second that the slots can run, by their service times.
  void SetCapacity(double per_second) { this->capacity = per_second; }

  // From now on `running` of `limit` slots are taken.
  void OnRunning(Instant now, int running, int limit);

  // A request was refused for want of a slot, or waited too long for one. One
  // that the threshold refuses by now says nothing new.
  void OnOverload(Instant now, Importance importance, std::uint16_t key);

  // The backend server itself refused a request.
  void OnShed(Instant now);

  AdmissionThreshold Threshold(Instant now);

 private:
  // Slices of admission keys per class.
  static constexpr int kSlices = 16;
  static constexpr int kLevels = kSlices * kImportanceCount;

  void Advance(Instant now);
  // Counts the slots as taken up to `now`, within one window.
  void AddUtilizedTime(Instant now);
  void CloseWindow();
  void LowerLevel();
  AdmissionThreshold CurrentThreshold() const;
  void RaiseLevel();

  Instant window_end{};
  Instant utilized_time_until{};
  double utilization = 0;    // Of the slots, now.
  Duration utilized_time{};  // Time in the window, weighted by it.
  int windows_since_raise = 0;
  bool overloaded = false;
  // Slices that are admitted, counted from the most important.
  int level = kLevels;
  int raise_step = 1;
  // Arrivals by slice, and starts, fading from window to window.
  std::array<double, kLevels> arrivals{};
  double starts = 0;
  double capacity = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_
