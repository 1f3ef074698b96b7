#ifndef LIBRARIES_PROXY_PLANNED_STOP_H_
#define LIBRARIES_PROXY_PLANNED_STOP_H_

#include <optional>

#include "libraries/base/time.h"

namespace agaterun::proxy {

// The steps of a planned stop, each of which waits until others have noticed
// the one before: callers go elsewhere while requests are still taken, then
// other nodes, and the process ends once nothing is in flight.
class PlannedStop {
 public:
  // `grace` is the time from the signal to the kill.
  void SetGrace(Duration new_grace) { this->grace = new_grace; }

  // The signal came. Later ones change nothing.
  void Start(Instant now);
  bool HasStarted() const { return this->since.has_value(); }

  // False when what a caller asks now might not be done before the end.
  bool TakesRequests(Instant now) const;

  // True once, when other nodes are to be told to go elsewhere.
  bool TakeLeaving(Instant now);

  // True once, when the process is to end; `is_idle` when nothing is in flight.
  bool TakeEnd(Instant now, bool is_idle);

 private:
  Duration grace{};
  std::optional<Instant> since;
  bool has_left = false;
  bool has_ended = false;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_PLANNED_STOP_H_
