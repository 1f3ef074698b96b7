#ifndef LIBRARIES_DRIVER_PUBLISHED_STATE_H_
#define LIBRARIES_DRIVER_PUBLISHED_STATE_H_

#include <atomic>
#include <memory>

#include "libraries/decision/ticket_state.h"

namespace agaterun::driver {

// The tickets in force, read under read-copy-update by every thread of the
// request path. Readers never wait; one writer at a time publishes.
class PublishedState {
 public:
  PublishedState();
  ~PublishedState();
  PublishedState(const PublishedState&) = delete;
  PublishedState& operator=(const PublishedState&) = delete;

  // The state in force now. It stays valid for as long as the caller holds it.
  std::shared_ptr<const decision::TicketState> Read() const;

  // Replaces the state. Waits until no reader holds the former holder, which
  // is as long as one copy of a shared pointer takes.
  void Publish(std::shared_ptr<const decision::TicketState> state);

 private:
  struct Holder;
  std::atomic<Holder*> holder;
};

}  // namespace agaterun::driver

#endif  // LIBRARIES_DRIVER_PUBLISHED_STATE_H_
