#include "platform/item_watch.h"

#include <asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/fakes/free_port.h"

namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(ItemWatchTest)

// Failure: a process that had been suspended while it waited to retry ended
// itself, since the retry and the read that took its place used one connection.
BOOST_AUTO_TEST_CASE(RetryThatIsDueWhenItIsReplacedSendsNothing) {
  constexpr Duration kRetryInterval = 40ms;
  asio::io_context io{1};
  SeededRandom random{7};
  // Nothing listens there, so that each read fails at once.
  ItemWatch watch(io,
                  {.store = fakes::FreeAddress(0x7f000001),
                   .response_timeout = 1s,
                   .retry_interval = kRetryInterval,
                   .max_retry_interval = kRetryInterval,
                   .wait = [] { return Duration{}; },
                   .on_item = [](const StoreItem&) {},
                   .on_malformed_response = [](const Error&) {}},
                  random);
  watch.Follow("key");
  io.run_for(kRetryInterval / 4);
  asio::steady_timer earlier(io);
  earlier.expires_after(0ms);
  earlier.async_wait([&](const std::error_code&) { watch.ReadAgain(); });
  // The retry becomes due as well.
  std::this_thread::sleep_for(kRetryInterval * 2);
  io.restart();
  io.poll();
  BOOST_TEST(watch.Key() == "key");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
