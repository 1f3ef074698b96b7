#include "tests/fakes/platform/fake_platform.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <fstream>

namespace agaterun::fakes {

namespace {

constexpr const char* kNoType = "text/plain";

}  // namespace

BOOST_AUTO_TEST_SUITE(FakePlatformTest)

BOOST_AUTO_TEST_CASE(ControlRequestsSteerIt) {
  FakePlatform platform({});
  httplib::Client client("127.0.0.1", platform.Address().port);
  client.Post("/control/tickets", "[ticket]\nnumber = 12\n", kNoType);
  client.Post("/control/hosts", R"({"hosts": [1]})", kNoType);
  const auto tickets = client.Get("/v1/tickets?after=11&limit=5");
  BOOST_REQUIRE(tickets);
  BOOST_TEST(tickets->body.find("\"last\":12") != std::string::npos);
  BOOST_TEST(tickets->body.find("number = 12") != std::string::npos);
  BOOST_TEST(client.Get("/v1/hosts")->body == R"({"hosts": [1]})");

  BOOST_TEST(
      client.Post("/control/fault", R"({"mode": "x"})", kNoType)->status ==
      400);
  client.Post("/control/fault", R"({"mode": "error"})", kNoType);
  BOOST_TEST(client.Get("/v1/hosts")->status == 500);
  BOOST_TEST(client.Get("/control/stats")->body ==
             R"({"reads":3,"refused":0})");
}

BOOST_AUTO_TEST_CASE(ReadsBeyondTheRateAreRefused) {
  FakePlatform platform({.reads_per_second = 3});
  httplib::Client client("127.0.0.1", platform.Address().port);
  int refused = 0;
  // Two windows at the most, unless the machine stalls for seconds.
  for (int read = 0; read < 20; ++read) {
    refused += client.Get("/v1/hosts")->status == 429 ? 1 : 0;
  }
  BOOST_TEST(refused > 0);
}

BOOST_AUTO_TEST_CASE(FilesAreReadOnStartAndOnChange) {
  const auto folder = std::filesystem::temp_directory_path() /
                      ("fake_platform_" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  std::ofstream(folder / "003.ini") << "three";
  std::ofstream(folder / "hosts.json") << R"({"hosts": []})";
  {
    FakePlatform platform({.tickets = folder, .hosts = folder / "hosts.json"});
    httplib::Client client("127.0.0.1", platform.Address().port);
    BOOST_TEST(client.Get("/v1/tickets?after=0")->body ==
               R"({"last":3,"tickets":[{"number":3,"text":"three"}]})");
    std::ofstream(folder / "004.ini") << "four";
    BOOST_TEST(client.Get("/v1/tickets?after=3&wait_ms=4000")
                   ->body.find("\"last\":4") != std::string::npos);
  }
  std::filesystem::remove_all(folder);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::fakes
