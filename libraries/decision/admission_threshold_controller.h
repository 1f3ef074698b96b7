#ifndef LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_
#define LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_

#include <array>
#include <cstdint>

#include "libraries/base/time.h"
#include "libraries/decision/messages.h"

namespace agaterun::decision {

// Controls the admission threshold that one gate advertises, so that requests
// which it would refuse are already refused at the origin, where they enter the
// call graph. Works in fixed windows of time.
class AdmissionThresholdController {
 public:
  // A request arrived at the gate, whether or not it is admitted.
  void OnArrival(Instant now, Importance importance, std::uint16_t key);

  // A request was sent to the backend server.
  void OnStart(Instant now);

  // Sets the requests per second that the slots can run, computed from their
  // service times.
  void SetCapacity(double per_second) { this->capacity = per_second; }

  // From now on `running` of `limit` slots are in use.
  void OnRunning(Instant now, int running, int limit);

  // A request was refused because no slot was free, or exceeded its queue time.
  // Ignored if the current threshold already refuses such a request.
  void OnOverload(Instant now, Importance importance, std::uint16_t key);

  // The backend server itself refused a request.
  void OnShed(Instant now);

  AdmissionThreshold Threshold(Instant now);

 private:
  // Slices into which the admission keys of each class are divided.
  static constexpr int kSlices = 16;
  static constexpr int kLevels = kSlices * kImportanceCount;

  void Advance(Instant now);
  // Adds the current utilization to the total of the window, up to `now`. The
  // interval must lie within one window.
  void AddUtilizedTime(Instant now);
  void CloseWindow();
  void LowerLevel();
  AdmissionThreshold CurrentThreshold() const;
  void RaiseLevel();

  Instant window_end{};
  Instant utilized_time_until{};
  double utilization = 0;    // Current fraction of the slots in use.
  Duration utilized_time{};  // Time in the window, weighted by utilization.
  int windows_since_raise = 0;
  bool overloaded = false;
  // Number of admitted slices, counted from the most important class.
  int level = kLevels;
  int raise_step = 1;
  // Arrivals by slice, and starts; both decay from window to window.
  std::array<double, kLevels> arrivals{};
  double starts = 0;
  double capacity = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ADMISSION_THRESHOLD_CONTROLLER_H_
