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
  delete this->holder.load();
}

std::shared_ptr<const decision::TicketState> PublishedState::Read() const {
  urcu_bp_read_lock();
  // The pointer is copied inside the read section; the copy keeps the state
  // alive after it.
  auto state = this->holder.load(std::memory_order_acquire)->state;
  urcu_bp_read_unlock();
  return state;
}

void PublishedState::Publish(
    std::shared_ptr<const decision::TicketState> state) {
  auto* fresh = new Holder{std::move(state)};
  auto* former = this->holder.exchange(fresh, std::memory_order_acq_rel);
  urcu_bp_synchronize_rcu();
  delete former;
}

}  // namespace agaterun::driver
