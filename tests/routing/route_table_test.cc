#include "libraries/routing/route_table.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::routing {

BOOST_AUTO_TEST_SUITE(RouteTableTest)

RouteTable MakeTable() {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = 3;
  const auto add = [&](const char* name, const char* host, const char* prefix) {
    configuration->routes.push_back(
        {.name = name, .host = host, .prefix = prefix});
  };
  add("all", "desk.example", "/drafts/");
  add("old", "desk.example", "/drafts/old/");
  add("other", "audio.example", "/drafts/");
  return RouteTable(configuration);
}

std::string NameFor(std::string_view host, std::string_view target) {
  const auto table = MakeTable();
  const auto* route = table.Find(host, target);
  return route == nullptr ? "none" : route->name;
}

BOOST_AUTO_TEST_CASE(FindsLongestPrefixOfHost) {
  struct Row {
    const char* host;
    const char* target;
    const char* route;
  };
  const Row rows[] = {
      {"desk.example", "/drafts/7", "all"},
      {"desk.example", "/drafts/old/7", "old"},
      {"desk.example", "/drafts/older/7", "all"},
      {"desk.example", "/drafts/?page=2", "all"},
      {"desk.example:8304", "/drafts/7", "all"},
      {"DESK.example", "/drafts/7", "all"},
      {"audio.example", "/drafts/old/7", "other"},
      {"desk.example", "/drafts", "none"},
      {"desk.example", "/?/drafts/7", "none"},
      {"unknown.example", "/drafts/7", "none"},
  };
  for (const auto& row : rows) {
    BOOST_TEST(NameFor(row.host, row.target) == row.route,
               row.host << row.target);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::routing
