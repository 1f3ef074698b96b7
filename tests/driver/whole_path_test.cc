#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "tests/driver/test_region.h"

namespace agaterun::driver {

namespace {

constexpr char kRoutes[] =
    "[route front open]\n"
    "method = GET\npath = /open\nidempotent = yes\ndeadline_ms = 20000\n"
    "[route front send]\n"
    "method = POST\npath = /send\nimportance = critical\n"
    "deadline_ms = 20000\n"
    "[route middle fetch]\n"
    "method = GET\npath = /fetch\nidempotent = yes\ndeadline_ms = 20000\n"
    "[route deep look]\n"
    "method = GET\npath = /look\nidempotent = yes\ndeadline_ms = 20000\n";

// Three services deep over three failure domains.
std::vector<TestHost> ThreeDeep() {
  return {{.name = "front-a",
           .service = "front",
           .failure_domain = "a",
           .nested = "middle/fetch"},
          {.name = "middle-b",
           .service = "middle",
           .failure_domain = "b",
           .nested = "deep/look"},
          {.name = "deep-c", .service = "deep", .failure_domain = "c"}};
}

client::CallerRequest Request(const std::string& method,
                              const std::string& target,
                              const std::string& id) {
  return {.request = {.method = method,
                      .target = target,
                      .headers = {{"X-Request-Id", id}},
                      .body = ""},
          .idempotent = method == "GET",
          .timeout = 20s};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WholePathTest)

BOOST_AUTO_TEST_CASE(ServesThreeServicesDeepFromAnyNode) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  for (std::size_t node = 0; node < 3; ++node) {
    const auto id = "r" + std::to_string(node);
    const auto result = region.Call(node, Request("GET", "/front/open", id));
    BOOST_TEST((result.outcome == decision::Outcome::kCompleted),
               result.reason);
    BOOST_TEST(result.response.status == 200);
    // The answer names the request at every depth.
    const auto body = nlohmann::json::parse(result.response.body);
    BOOST_TEST(body.dump().find("deep") != std::string::npos, body.dump());
    BOOST_TEST(result.response.body.find("\"" + id + "\"") !=
               std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(EachLifeOfANodeHasAnIncarnationOfItsOwn) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  std::set<std::string> incarnations;
  for (std::size_t node = 0; node < 3; ++node) {
    const auto state =
        nlohmann::json::parse(region.Host(node).node->StateDump());
    incarnations.insert(state.at("incarnation").get<std::string>());
  }
  BOOST_TEST(incarnations.size() == 3U);
}

BOOST_AUTO_TEST_CASE(ANonIdempotentRequestRunsOnceUnderItsBinding) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  const auto result = region.Call(1, Request("POST", "/front/send", "once"));
  BOOST_TEST((result.outcome == decision::Outcome::kCompleted), result.reason);
  region.Run([&] {
    BOOST_TEST(region.Host(0).backend->Executions().All().at("once") == 1);
  });
}

BOOST_AUTO_TEST_CASE(AnUnknownServiceIsToldAsNotRun) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  const auto result = region.Call(0, Request("GET", "/nowhere/x", "r"));
  BOOST_TEST((result.outcome == decision::Outcome::kNotRun));
  BOOST_TEST(result.response.status == 404);
}

BOOST_AUTO_TEST_CASE(APlannedStopCutsOffNoRequestInFlight) {
  auto hosts = ThreeDeep();
  hosts[2].service_ms = 300;
  TestRegion region(std::move(hosts), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  std::promise<client::CallerResult> promise;
  std::thread caller([&] {
    promise.set_value(region.Call(0, Request("GET", "/front/open", "slow")));
  });
  // The request is at the deepest backend server when that host stops.
  bool running = false;
  while (!running) {
    region.Run([&] { running = region.Host(2).backend->RunningCount() > 0; });
  }
  region.StopNode(2);
  const auto result = promise.get_future().get();
  caller.join();
  BOOST_TEST((result.outcome == decision::Outcome::kCompleted), result.reason);
  BOOST_TEST(result.response.status == 200);
}

BOOST_AUTO_TEST_CASE(AHostThatTheListNamesAsLeavingStopsByItself) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  const auto entry = [&](std::size_t host, bool leaving) {
    const auto& settings = region.Host(host).settings;
    return nlohmann::json{{"name", settings.host},
                          {"node", settings.node.ToString()},
                          {"leaving", leaving}};
  };
  const auto list = [&](bool leaving) {
    region.Platform().PublishHosts(
        nlohmann::json{{"hosts", {entry(0, false), entry(1, leaving)}}}.dump());
  };
  // The list has to name it as staying first: a list that lags may still speak
  // of an earlier process at the address.
  list(false);
  const auto reads = region.Platform().Reads();
  while (region.Platform().Reads() < reads + 10) {
    std::this_thread::sleep_for(20ms);
  }
  list(true);
  BOOST_TEST(region.WaitUntilStopped(1));
  BOOST_TEST(region.Host(1).node->Health() == "leaving");
}

BOOST_AUTO_TEST_CASE(ALaterTicketComesIntoForceWhileRequestsRun) {
  TestRegion region(ThreeDeep(), kRoutes);
  BOOST_REQUIRE(region.WaitUntilServing());
  region.Platform().PublishTicket(2, region.Ticket(2));
  const auto number_at = [&](std::size_t node) {
    const auto tickets =
        nlohmann::json::parse(region.Host(node).node->TicketsInForce());
    return tickets.at("items").at(0).at("number").get<int>();
  };
  bool everywhere = false;
  // Bounded by a count of requests, not by this machine's clock.
  for (int request = 0; request < 5000 && !everywhere; ++request) {
    const auto result = region.Call(0, Request("GET", "/front/open", "r"));
    BOOST_REQUIRE((result.outcome == decision::Outcome::kCompleted));
    everywhere = number_at(0) == 2 && number_at(1) == 2 && number_at(2) == 2;
  }
  BOOST_TEST(everywhere);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::driver
