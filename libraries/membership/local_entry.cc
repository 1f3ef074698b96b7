#include "libraries/membership/local_entry.h"

namespace agaterun::membership {

std::optional<EndpointEntry> LocalEntry::TakeWord(const LocalEndpoint& word) {
  if (word.entry) {
    this->last = word.entry;
    return word.entry;
  }
  this->ended_id = word.id;
  this->ended_start =
      this->last && this->last->id == word.id ? this->last->started_at : 0;
  this->last.reset();
  return std::nullopt;
}

bool LocalEntry::MayBelieveList(const EndpointEntry& listed) const {
  if (this->last) {
    return false;
  }
  const bool is_ended_life =
      listed.id == this->ended_id && listed.started_at <= this->ended_start;
  return !is_ended_life;
}

}  // namespace agaterun::membership
