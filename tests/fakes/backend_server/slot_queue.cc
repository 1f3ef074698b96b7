#include "tests/fakes/backend_server/slot_queue.h"

#include <utility>

namespace agaterun::fakes {

SlotQueue::Ticket SlotQueue::Enter(int slots,
                                   Instant now,
                                   std::function<void()> start) {
  const Ticket ticket = ++this->last_ticket;
  this->waiting.emplace(ticket, std::move(start));
  this->StartWaiting(slots, now);
  return ticket;
}

void SlotQueue::Leave(Ticket ticket, int slots, Instant now) {
  this->waiting.erase(ticket);
  if (const auto found = this->running.find(ticket);
      found != this->running.end()) {
    this->busy_time += now - found->second;
    this->running.erase(found);
  }
  this->StartWaiting(slots, now);
}

Duration SlotQueue::BusyTime(Instant now) const {
  Duration total = this->busy_time;
  for (const auto& [ticket, since] : this->running) {
    total += now - since;
  }
  return total;
}

void SlotQueue::StartWaiting(int slots, Instant now) {
  while (!this->waiting.empty() && std::cmp_less(this->running.size(), slots)) {
    auto first = this->waiting.extract(this->waiting.begin());
    this->running.emplace(first.key(), now);
    first.mapped()();
  }
}

}  // namespace agaterun::fakes
