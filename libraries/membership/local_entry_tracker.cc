#include "libraries/membership/local_entry_tracker.h"

#include <utility>

namespace agaterun::membership {

std::optional<EndpointEntry> LocalEntryTracker::Update(
    std::optional<EndpointEntry> listed,
    bool is_authoritative) {
  const bool is_replaced =
      listed && this->replaced_entry &&
      listed->id == this->replaced_entry->id &&
      listed->started_at <= this->replaced_entry->started_at;
  if (is_replaced) {
    listed.reset();
  }
  this->entry_unconfirmed = !listed && this->current_entry && !is_authoritative;
  if (!this->entry_unconfirmed) {
    this->current_entry = std::move(listed);
  }
  return this->current_entry;
}

}  // namespace agaterun::membership
