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
  bool HasStarted() const { return this->since.has_value(); }

  // False if a request that arrives now might not complete before the process
  // exits.
  bool TakesRequests(Instant now) const;

  // Returns true once, when other nodes must be notified that this node is
  // leaving.
  bool TakeLeaving(Instant now);

  // Returns true once, when the process must exit. `is_idle` states that
  // nothing is in flight.
  bool TakeEnd(Instant now, bool is_idle);

 private:
  Duration grace{};
  std::optional<Instant> since;
  bool has_left = false;
  bool has_ended = false;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_PLANNED_STOP_H_
