#ifndef LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_
#define LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "libraries/base/time.h"
#include "libraries/decision/own_time_sample.h"

namespace agaterun::decision {

// Requests that a gate lets run at once. Starts from the published slots and
// looks for the knee: it compares own times at the limit and a step beside it.
// Below the knee more concurrency leaves own time alone; beyond it own time
// grows in proportion and nothing is gained.
class ConcurrencyLimit {
 public:
  struct Options {
    int slots = 1;
    bool adaptive = true;
  };

  ConcurrencyLimit() : ConcurrencyLimit(Options{}) {}
  explicit ConcurrencyLimit(Options options);

  // The published slots; a change starts again from them.
  void SetSlots(int slots);

  // A request ended after `own` time, while `running` ran, itself included.
  void OnFinished(Instant now, Duration own_time, int running);

  // A request was given up after `own` time, while `running` ran.
  void OnAborted(Instant now, Duration own_time, int running);

  // The backend server itself refused a request for want of room.
  void OnShed(Instant now);

  // Requests that may run at once, at least 1.
  int Limit() const { return this->limit; }

 private:
  enum class Phase : std::uint8_t {
    kHold,   // Measures at `base`.
    kAbove,  // Measures one step above.
    kBelow,  // Measures one step below.
  };

  enum class Verdict : std::uint8_t { kUndecided, kFlat, kSteep, kChanged };

  void Restart();
  void AddUnloaded(double seconds);
  // Mean own time without load in seconds, or 0 while it is not known.
  double Unloaded() const;
  void OnUnsaturated(Instant now);
  // Waits until own times of a new limit show.
  void Settle(Instant now, double own_seconds);
  void EnterHold(Instant now);
  void EnterProbe(Instant now, Phase phase);
  void EndHold(Instant now);
  void EndAbove(Instant now);
  void EndBelow(Instant now);
  void ScheduleNextProbe(Instant now);
  Verdict Compare(const OwnTimeSample& low, const OwnTimeSample& high) const;
  bool MayBeTooHigh(const OwnTimeSample& sample) const;
  bool IsNormal(const OwnTimeSample& sample) const;
  int HigherLimit() const;
  int LowerLimit() const;

  Options options;
  int base;   // Limit that has proved itself.
  int limit;  // In force; a step beside `base` while probing.
  Phase phase = Phase::kHold;
  Instant settled_at{};  // Samples count from here on.
  Instant next_probe_at{};
  Duration probe_interval;
  double reference_mean = 0;  // Own time in seconds at the last verdict.
  OwnTimeSample base_sample;
  OwnTimeSample probe_sample;
  int aborted = 0;  // Of the base sample, cut off at their deadline.
  // Own time in seconds at half the limit or less.
  double unloaded_mean = 0;
  int unloaded_count = 0;
  Instant last_saturated{};
  Instant last_shed{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_
