#include "libraries/membership/local_entry_tracker.h"

#include <utility>

namespace agaterun::membership {

std::optional<EndpointEntry> LocalEntryTracker::Take(
    std::optional<EndpointEntry> listed,
    bool is_authoritative) {
  const bool is_ended = listed && this->ended &&
                        listed->id == this->ended->id &&
                        listed->started_at <= this->ended->started_at;
  if (is_ended) {
    listed.reset();
  }
  this->in_doubt = !listed && this->believed && !is_authoritative;
  if (!this->in_doubt) {
    this->believed = std::move(listed);
  }
  return this->believed;
}

}  // namespace agaterun::membership
