#include "libraries/driver/published_state.h"

// The "bulletproof" flavour registers each reading thread by itself, so that
// threads of Asio and cpp-httplib need no hook of their own.
#include <urcu-bp.h>

namespace agaterun::driver {

struct PublishedState::Holder {
  std::shared_ptr<const decision::TicketState> state;
};

PublishedState::PublishedState()
    : holder(new Holder{std::make_shared<decision::TicketState>()}) {}

PublishedState::~PublishedState() {
  delete this->holder;
}

std::shared_ptr<const decision::TicketState> PublishedState::Read() const {
  urcu_bp_read_lock();
  // The pointer is copied inside the read section; the copy keeps the state
  // alive after it.
  auto state = rcu_dereference(this->holder)->state;
  urcu_bp_read_unlock();
  return state;
}

void PublishedState::Publish(
    std::shared_ptr<const decision::TicketState> state) {
  auto* fresh = new Holder{std::move(state)};
  auto* former = rcu_xchg_pointer(&this->holder, fresh);
  urcu_bp_synchronize_rcu();
  delete former;
}

}  // namespace agaterun::driver
