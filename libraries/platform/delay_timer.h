#ifndef LIBRARIES_PLATFORM_DELAY_TIMER_H_
#define LIBRARIES_PLATFORM_DELAY_TIMER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>

#include "libraries/base/time.h"

namespace agaterun::platform {

// Runs a function once after a delay. The handler of an Asio timer runs even
// though the timer was cancelled, if it was due by then, such as after the
// process was suspended. Here the function never runs after Cancel, after
// another Start, or after the end of the timer.
class DelayTimer {
 public:
  explicit DelayTimer(asio::io_context& io) : timer(io) {}
  ~DelayTimer() { this->Cancel(); }
  DelayTimer(const DelayTimer&) = delete;
  DelayTimer& operator=(const DelayTimer&) = delete;

  // Replaces the function that has not run yet, if any.
  void Start(Duration delay, std::function<void()> function);
  void Cancel();

 private:
  asio::steady_timer timer;
  std::shared_ptr<std::function<void()>> pending;
};

}  // namespace agaterun::platform

#endif  // LIBRARIES_PLATFORM_DELAY_TIMER_H_
