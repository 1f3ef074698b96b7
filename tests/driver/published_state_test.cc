#include "libraries/driver/published_state.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>
#include <vector>

namespace agaterun::driver {

BOOST_AUTO_TEST_SUITE(PublishedStateTest)

BOOST_AUTO_TEST_CASE(ReadersNeverSeeANumberGoBack) {
  PublishedState published;
  std::atomic<bool> done{false};
  std::atomic<bool> number_decreased{false};
  std::vector<std::thread> readers;
  for (int index = 0; index < 3; ++index) {
    readers.emplace_back([&] {
      std::uint64_t last = 0;
      while (!done) {
        const auto digest = published.Read()->digest;
        number_decreased = number_decreased || digest < last;
        last = digest;
      }
    });
  }
  constexpr std::uint64_t kPublications = 500;
  for (std::uint64_t digest = 1; digest <= kPublications; ++digest) {
    auto state = std::make_shared<decision::TicketState>();
    state->digest = digest;
    published.Publish(std::move(state));
  }
  done = true;
  for (auto& reader : readers) {
    reader.join();
  }
  BOOST_TEST(!number_decreased);
  BOOST_TEST(published.Read()->digest == kPublications);
}

BOOST_AUTO_TEST_CASE(AHeldStateOutlivesItsSuccessor) {
  PublishedState published;
  auto first = std::make_shared<decision::TicketState>();
  first->digest = 7;
  published.Publish(std::move(first));
  const auto held = published.Read();
  published.Publish(std::make_shared<decision::TicketState>());
  BOOST_TEST(held->digest == 7U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::driver
