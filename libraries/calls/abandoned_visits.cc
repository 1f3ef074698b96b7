#include "libraries/calls/abandoned_visits.h"

#include <utility>

namespace agaterun::calls {

namespace {

// Beyond it, the one with the earliest deadline is forgotten.
constexpr std::size_t kMaxVisits = 4096;

}  // namespace

void AbandonedVisits::RemoveExpired(Instant now) {
  while (!this->deadlines.empty() && (this->deadlines.begin()->first <= now ||
                                      this->deadlines.size() > kMaxVisits)) {
    const auto first = this->deadlines.begin();
    const auto found = this->visits.find(first->second);
    if (found != this->visits.end() && found->second.deadline <= first->first) {
      this->visits.erase(found);
    }
    this->deadlines.erase(first);
  }
}

void AbandonedVisits::Add(Instant now,
                          const std::string& request_id,
                          Instant deadline,
                          NestedCallParent parent) {
  if (deadline > now) {
    this->visits[request_id] = {.parent = std::move(parent),
                                .deadline = deadline};
    this->deadlines.emplace(deadline, request_id);
  }
  this->RemoveExpired(now);
}

const NestedCallParent* AbandonedVisits::Find(
    Instant now,
    std::string_view request_id) const {
  const auto found = this->visits.find(request_id);
  return found == this->visits.end() || found->second.deadline <= now
             ? nullptr
             : &found->second.parent;
}

}  // namespace agaterun::calls
