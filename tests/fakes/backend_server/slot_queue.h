#ifndef TESTS_FAKES_BACKEND_SERVER_SLOT_QUEUE_H_
#define TESTS_FAKES_BACKEND_SERVER_SLOT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>

#include "libraries/base/time.h"

namespace agaterun::fakes {

// Slots of a backend server, given out in order of arrival. Who finds none
// waits, as in a real server that slows down.
class SlotQueue {
 public:
  using Ticket = std::uint64_t;

  // Calls `start` once a slot is free, maybe at once.
  Ticket Enter(int slots, Instant now, std::function<void()> start);

  // Gives the slot back, or leaves the queue.
  void Leave(Ticket ticket, int slots, Instant now);

  std::size_t Running() const { return this->running.size(); }
  std::size_t Waiting() const { return this->waiting.size(); }

  // Time that slots were held, those held now included.
  Duration BusyTime(Instant now) const;

 private:
  void StartWaiting(int slots, Instant now);

  Ticket last_ticket = 0;
  std::map<Ticket, std::function<void()>> waiting;
  std::map<Ticket, Instant> running;  // Since when.
  Duration busy_time{};               // Of slots given back.
};

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_BACKEND_SERVER_SLOT_QUEUE_H_
