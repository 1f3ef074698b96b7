#include "libraries/platform/platform_responses.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace agaterun::platform {

namespace {

struct BadBody {
  const char* name;
  std::string body;
};

std::ostream& operator<<(std::ostream& stream, const BadBody& bad) {
  return stream << bad.name;
}

const BadBody bad_ticket_pages[] = {
    {"empty", ""},
    {"no JSON", "garbage"},
    {"cut", R"({"last": 1, "tickets": [{"number": 1, "te)"},
    {"array", "[]"},
    {"no tickets", R"({"last": 1})"},
    {"tickets no array", R"({"tickets": 7})"},
    {"row no object", R"({"tickets": [1]})"},
    {"no number", R"({"tickets": [{"text": "a"}]})"},
    {"no text", R"({"tickets": [{"number": 6}]})"},
    {"negative", R"({"tickets": [{"number": -6, "text": "a"}]})"},
    {"fraction", R"({"tickets": [{"number": 6.5, "text": "a"}]})"},
    {"too large a number",
     R"({"tickets": [{"number": 99999999999999999999, "text": "a"}]})"},
    {"text no string", R"({"tickets": [{"number": 6, "text": {}}]})"},
    {"not after", R"({"tickets": [{"number": 5, "text": "a"}]})"},
    {"twice", R"({"tickets": [{"number": 6, "text": "a"},
                              {"number": 6, "text": "a"}]})"},
    {"falling", R"({"tickets": [{"number": 8, "text": "a"},
                                {"number": 7, "text": "a"}]})"},
    {"invalid UTF-8", "{\"tickets\": [{\"number\": 6, \"text\": \"\xff\"}]}"},
    {"oversized text", R"({"tickets": [{"number": 6, "text": ")" +
                           std::string(kLargestValueBytes + 1, 'x') +
                           R"("}]})"},
    {"deep nesting", R"({"tickets": )" + std::string(100'000, '[')},
};

const BadBody bad_host_lists[] = {
    {"empty", ""},
    {"no JSON", "garbage"},
    {"no hosts", "{}"},
    {"hosts no array", R"({"hosts": {}})"},
    {"row no object", R"({"hosts": ["a"]})"},
    {"no node", R"({"hosts": [{"name": "a"}]})"},
    {"node no string", R"({"hosts": [{"node": 7}]})"},
    {"node no address", R"({"hosts": [{"node": "somewhere"}]})"},
    {"port 0", R"({"hosts": [{"node": "127.0.0.1:0"}]})"},
    {"leaving no truth",
     R"({"hosts": [{"node": "127.0.0.1:1", "leaving": "yes"}]})"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformResponsesTest)

BOOST_DATA_TEST_CASE(BadTicketPageIsRefusedWithARemedy,
                     boost::unit_test::data::make(bad_ticket_pages),
                     bad) {
  const auto page = ParseTicketPage(bad.body, 5);
  BOOST_REQUIRE(!page);
  BOOST_TEST(page.error().message.find(';') != std::string::npos);
}

BOOST_DATA_TEST_CASE(BadHostListIsRefusedWithARemedy,
                     boost::unit_test::data::make(bad_host_lists),
                     bad) {
  const auto hosts = ParseHostList(bad.body);
  BOOST_REQUIRE(!hosts);
  BOOST_TEST(hosts.error().message.find(';') != std::string::npos);
}

BOOST_AUTO_TEST_CASE(LargestValueIsTaken) {
  const auto page =
      ParseTicketPage(R"({"tickets": [{"number": 6, "text": ")" +
                          std::string(kLargestValueBytes, 'x') + R"("}]})",
                      5);
  BOOST_REQUIRE(page);
  BOOST_TEST(page->front().text.size() == kLargestValueBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform
