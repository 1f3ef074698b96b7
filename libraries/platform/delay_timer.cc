#include "libraries/platform/delay_timer.h"

#include <system_error>
#include <utility>

namespace agaterun::platform {

void DelayTimer::Start(Duration delay, std::function<void()> function) {
  this->Cancel();
  this->pending = std::make_shared<std::function<void()>>(std::move(function));
  this->timer.expires_after(delay);
  this->timer.async_wait(
      [weak = std::weak_ptr(this->pending)](const std::error_code& /*error*/) {
        if (const auto due = weak.lock()) {
          (*due)();
        }
      });
}

void DelayTimer::Cancel() {
  this->pending.reset();
  this->timer.cancel();
}

}  // namespace agaterun::platform
