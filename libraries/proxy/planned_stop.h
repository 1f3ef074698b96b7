#ifndef LIBRARIES_PROXY_PLANNED_STOP_H_
#define LIBRARIES_PROXY_PLANNED_STOP_H_

#include <optional>

#include "libraries/base/time.h"

namespace agaterun::proxy {

// Schedules the steps of a planned stop. Each step leaves time for its
// predecessor to take effect: first callers move to other nodes while requests
// are still accepted, then other nodes stop sending visits, and the process
// exits once nothing is in flight.
class PlannedStop {
 public:
  // Sets the time from the stop signal to the kill.
  void SetGrace(Duration new_grace) { this->grace = new_grace; }

  // Called at the stop signal. Further calls have no effect.
  void Start(Instant now);
  bool HasStarted() const { return this->started_at.has_value(); }

  // False if a request that arrives now might not complete before the process
  // exits.
  bool AcceptsRequests(Instant now) const;

  // Returns true once, when other nodes must be notified that this node is
  // leaving.
  bool StartLeavingIfDue(Instant now);

  // Returns true once, when the process must exit. `is_idle` states that
  // nothing is in flight.
  bool FinishIfDue(Instant now, bool is_idle);

 private:
  Duration grace{};
  std::optional<Instant> started_at;
  bool has_started_leaving = false;
  bool has_finished = false;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_PLANNED_STOP_H_
