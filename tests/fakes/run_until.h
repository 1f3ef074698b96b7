#ifndef TESTS_FAKES_RUN_UNTIL_H_
#define TESTS_FAKES_RUN_UNTIL_H_

#include <asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace agaterun::fakes {

// Runs handlers until `done`. Returns false when it was given up, after a time
// that no working program needs on any machine.
inline bool RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  constexpr std::chrono::seconds kPatience{60};
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  while (!done()) {
    if (std::chrono::steady_clock::now() > give_up) {
      return false;
    }
    io.restart();
    io.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_RUN_UNTIL_H_
