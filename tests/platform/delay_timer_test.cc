#include "libraries/platform/delay_timer.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <thread>

namespace agaterun::platform {

BOOST_AUTO_TEST_SUITE(DelayTimerTest)

struct Fixture {
  // Calls `action` when both the timer and a timer before it are due, as after
  // a time in which the process was suspended. Asio runs handlers in the order
  // in which they were due.
  void RunWhenDue(const std::function<void()>& action) {
    asio::steady_timer earlier(this->io);
    earlier.expires_after(0ms);
    earlier.async_wait([&](const std::error_code& /*error*/) { action(); });
    this->timer->Start(1ms, [this] { ++this->runs; });
    std::this_thread::sleep_for(5ms);
    this->io.poll();
  }

  asio::io_context io{1};
  std::optional<DelayTimer> timer{this->io};
  int runs = 0;
};

BOOST_FIXTURE_TEST_CASE(RunsOnceAfterTheDelay, Fixture) {
  this->RunWhenDue([] {});
  BOOST_TEST(this->runs == 1);
  this->io.restart();
  this->io.poll();
  BOOST_TEST(this->runs == 1);
}

// Failure: after a suspension the handler of a cancelled timer sent a second
// request on a connection, which ended the process.
BOOST_FIXTURE_TEST_CASE(CancelledFunctionThatIsDueDoesNotRun, Fixture) {
  this->RunWhenDue([&] { this->timer->Cancel(); });
  BOOST_TEST(this->runs == 0);
}

BOOST_FIXTURE_TEST_CASE(ReplacedFunctionThatIsDueDoesNotRun, Fixture) {
  this->RunWhenDue([&] { this->timer->Start(1h, [] {}); });
  BOOST_TEST(this->runs == 0);
}

BOOST_FIXTURE_TEST_CASE(FunctionDoesNotRunAfterEndOfTimer, Fixture) {
  this->RunWhenDue([&] { this->timer.reset(); });
  BOOST_TEST(this->runs == 0);
}

BOOST_FIXTURE_TEST_CASE(FunctionMayEndItsTimer, Fixture) {
  this->timer->Start(0ms, [&] {
    this->timer.reset();
    ++this->runs;
  });
  this->io.run_one();
  BOOST_TEST(this->runs == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform
