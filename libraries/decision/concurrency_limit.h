#ifndef LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_
#define LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "libraries/base/time.h"
#include "libraries/decision/own_time_sample.h"

namespace agaterun::decision {

// Number of requests that a gate runs concurrently. Starts at the published
// slots and searches for the knee of the load curve by comparing own times at
// the limit with those one step above or below it. Below the knee a higher
// limit leaves own times unchanged; beyond it own times grow in proportion to
// the limit and throughput does not increase.
class ConcurrencyLimit {
 public:
  struct Options {
    int slots = 1;
    bool adaptive = true;
  };

  ConcurrencyLimit() : ConcurrencyLimit(Options{}) {}
  explicit ConcurrencyLimit(Options options);

  // Sets the published slots. A change restarts the search from them.
  void SetSlots(int slots);

  // A request ended with `own_time`, while `running` requests ran, this one
  // included.
  void OnFinished(Instant now, Duration own_time, int running);

  // A request was aborted with `own_time` so far, while `running` requests ran.
  void OnAborted(Instant now, Duration own_time, int running);

  // The backend server itself rejected a request as overloaded.
  void OnShed(Instant now);

  // Requests that may run concurrently; at least 1.
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
  // Mean own time without load in seconds, or 0 if it is not known yet.
  double Unloaded() const;
  void OnUnsaturated(Instant now);
  // Discards samples until own times reflect the new limit.
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
  int base;   // Last confirmed limit.
  int limit;  // Limit in force; differs from `base` by one step while probing.
  Phase phase = Phase::kHold;
  Instant settled_at{};  // Samples before this instant are ignored.
  Instant next_probe_at{};
  Duration probe_interval;
  double reference_mean = 0;  // Mean own time in seconds at the last verdict.
  OwnTimeSample base_sample;
  OwnTimeSample probe_sample;
  // Requests of the base sample that were aborted at their deadline.
  int aborted = 0;
  // Mean own time in seconds while at most half of the limit was in use.
  double unloaded_mean = 0;
  int unloaded_count = 0;
  Instant last_saturated{};
  Instant last_shed{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_CONCURRENCY_LIMIT_H_
