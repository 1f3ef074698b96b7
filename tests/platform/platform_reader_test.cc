#include "libraries/platform/platform_reader.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "libraries/base/clock.h"
#include "tests/fakes/platform/fake_platform.h"
#include "tests/platform/recording_observer.h"

namespace agaterun::platform {

using fakes::FakePlatform;
using fakes::PlatformFault;

namespace {

PlatformReader::Options ReaderOptions(const FakePlatform& platform) {
  return {
      .platform = platform.Address(), .read_timeout = 20s, .watch_time = 20s};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformReaderTest)

BOOST_AUTO_TEST_CASE(ReadsAllPagesInOrder) {
  FakePlatform platform({});
  for (int number = 1; number <= 150; ++number) {
    platform.PublishTicket(number, std::to_string(number));
  }
  platform.PublishHosts(
      R"({"hosts": [{"name": "a", "node": "127.0.0.9:1", "leaving": true}]})");
  RecordingObserver observer;
  PlatformReader reader(ReaderOptions(platform), observer);
  reader.Read(20, false);
  const auto end = observer.WaitForEnd(1);
  BOOST_TEST(end.reached);
  BOOST_TEST(end.last_number == 150U);
  const auto tickets = observer.Tickets();
  BOOST_REQUIRE(tickets.size() == 130U);
  BOOST_TEST(tickets.front() == "21");
  BOOST_TEST(tickets.back() == "150");
  BOOST_REQUIRE(observer.Hosts().size() == 1U);
  BOOST_TEST(observer.Hosts().front().leaving);
  // One for the hosts, three pages: each counts at the platform.
  BOOST_TEST(reader.CallCount() == 4U);
  BOOST_TEST(platform.Reads() == 4U);
}

BOOST_AUTO_TEST_CASE(WatchIsHeldUntilATicketIsPublished) {
  FakePlatform platform({});
  RecordingObserver observer;
  PlatformReader reader(ReaderOptions(platform), observer);
  reader.Read(0, true);
  while (platform.Reads() < 2) {
    std::this_thread::yield();
  }
  BOOST_TEST(observer.Tickets().empty());
  platform.PublishTicket(7, "seven");
  const auto end = observer.WaitForEnd(1);
  BOOST_TEST(end.reached);
  BOOST_TEST(end.last_number == 7U);
  BOOST_TEST(observer.Tickets().size() == 1U);
  BOOST_TEST(reader.CallCount() == 2U);
}

BOOST_AUTO_TEST_CASE(WatchWithoutNewsEndsAsReached) {
  FakePlatform platform({});
  auto options = ReaderOptions(platform);
  options.watch_time = 30ms;
  RecordingObserver observer;
  PlatformReader reader(options, observer);
  reader.Read(5, true);
  const auto end = observer.WaitForEnd(1);
  BOOST_TEST(end.reached);
  BOOST_TEST(end.last_number == 5U);
}

BOOST_AUTO_TEST_CASE(DestructorBreaksAnOpenWatch) {
  FakePlatform platform({});
  RecordingObserver observer;
  const auto start = MonotonicClock().Now();
  {
    PlatformReader reader(ReaderOptions(platform), observer);
    reader.Read(0, true);
    while (platform.Reads() < 2) {
      std::this_thread::yield();
    }
  }
  BOOST_TEST(ToSeconds(MonotonicClock().Now() - start) < 10.0);
}

BOOST_AUTO_TEST_CASE(LargePagesAreReadFewerTicketsAtATime) {
  // Pages of more than one ticket are too large for the reader.
  const std::string too_large(5 * 1024 * 1024, ' ');
  httplib::Server server;
  server.Get("/v1/hosts", [](const auto&, auto& response) {
    response.set_content(R"({"hosts": []})", "application/json");
  });
  server.Get("/v1/tickets", [&](const auto& request, auto& response) {
    const auto number = std::stoi(request.get_param_value("after")) + 1;
    const auto page = number > 3 ? std::string(R"({"tickets": []})")
                                 : R"({"tickets": [{"text": "x", "number": )" +
                                       std::to_string(number) + "}]}";
    response.set_content(
        request.get_param_value("limit") == "1" ? page : too_large,
        "application/json");
  });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread serving([&] { server.listen_after_bind(); });
  RecordingObserver observer;
  {
    PlatformReader reader(
        {.platform = *NodeAddress::Parse("127.0.0.1:" + std::to_string(port)),
         .read_timeout = 20s,
         .tickets_per_read = 4},
        observer);
    reader.Read(0, false);
    BOOST_TEST(observer.WaitForEnd(1).reached);
  }
  BOOST_TEST(observer.Tickets().size() == 3U);
  server.stop();
  serving.join();
}

BOOST_DATA_TEST_CASE(FaultEndsTheReadAndItsEndIsSeen,
                     boost::unit_test::data::make({"down", "error"}),
                     mode) {
  FakePlatform platform({});
  platform.PublishTicket(1, "one");
  RecordingObserver observer;
  PlatformReader reader(ReaderOptions(platform), observer);
  platform.SetFault(*FromName(fakes::kPlatformFaultNames, mode));
  reader.Read(0, false);
  const auto failed = observer.WaitForEnd(1);
  BOOST_TEST(!failed.reached);
  BOOST_TEST(failed.last_number == 0U);
  platform.SetFault(PlatformFault::kOk);
  reader.Read(0, false);
  BOOST_TEST(observer.WaitForEnd(2).reached);
  BOOST_TEST(observer.Tickets().size() == 1U);
}

BOOST_AUTO_TEST_CASE(SlowPlatformCountsAsNotReached) {
  FakePlatform platform({});
  auto options = ReaderOptions(platform);
  options.read_timeout = 100ms;
  RecordingObserver observer;
  PlatformReader reader(options, observer);
  platform.SetFault(PlatformFault::kSlow);
  reader.Read(4, false);
  const auto end = observer.WaitForEnd(1);
  BOOST_TEST(!end.reached);
  BOOST_TEST(end.last_number == 4U);
}

BOOST_AUTO_TEST_CASE(NobodyListens) {
  NodeAddress address;
  {
    const FakePlatform platform({});
    address = platform.Address();
  }
  RecordingObserver observer;
  PlatformReader reader({.platform = address}, observer);
  reader.Read(3, true);
  BOOST_TEST(!observer.WaitForEnd(1).reached);
}

BOOST_AUTO_TEST_CASE(StalePlatformShowsNoNewTickets) {
  FakePlatform platform({});
  platform.PublishTicket(1, "one");
  platform.SetFault(PlatformFault::kStale);
  platform.PublishTicket(2, "two");
  RecordingObserver observer;
  PlatformReader reader(ReaderOptions(platform), observer);
  reader.Read(0, false);
  BOOST_TEST(observer.WaitForEnd(1).last_number == 1U);
  platform.SetFault(PlatformFault::kOk);
  reader.Read(1, false);
  BOOST_TEST(observer.WaitForEnd(2).last_number == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform
