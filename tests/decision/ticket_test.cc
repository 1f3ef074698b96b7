#include "libraries/decision/ticket.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sstream>

namespace agaterun::decision {

namespace {

constexpr const char kCompleteTicket[] = R"([ticket]
number = 12
comment = more slots for drafts

[service drafts]
slots = 80
connections = 570
queue_time_ms = 50
shed_status = 503
endpoint.drafts-b-1 = 127.0.2.1:7400 cascadia/b
endpoint.drafts-a-1 = 127.0.1.1:7400 cascadia/a

[route drafts open-draft]
method = GET
path = /drafts
importance = high
idempotent = yes
deadline_ms = 700
retries = 2

[route drafts save-draft]
method = POST
path = /drafts

[policy shares]
weight.team-a = 2
retry_budget = 0.2
)";

std::string ReplaceInTicket(const std::string& from, const std::string& to) {
  std::string text = kCompleteTicket;
  const auto at = text.find(from);
  BOOST_REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

struct FaultCase {
  const char* from;
  const char* to;
  int line;
  const char* message;  // Substring of the expected message.
};

constexpr FaultCase kFaultCases[] = {
    {"number = 12\n", "", 1, "number: missing; add 'number = 12'"},
    {"number = 12", "number = 0", 2, "from 1 to"},
    {"number = 12", "numbr = 12", 2, "did you mean 'number'?"},
    {"[ticket]", "[tickt]", 1, "did you mean 'ticket'?"},
    {"slots = 80", "slots = -1", 6, "[service drafts] slots: '-1'"},
    {"slots = 80\n", "", 5, "slots: missing"},
    {"slots = 80", "slots = 8e9", 6, "whole number"},
    {"connections = 570", "conections = 570", 7, "did you mean 'connections'?"},
    {"queue_time_ms = 50", "queue_time_ms = 99999", 8, "from 0 to 60000"},
    {"shed_status = 503", "shed_status = 200", 9, "from 400 to 599"},
    {"cascadia/b", "b", 10, "IP:PORT REGION/FAILURE_DOMAIN"},
    {"127.0.2.1:7400", "127.0.2:7400", 10, "IP:PORT"},
    {"127.0.2.1:7400", "127.0.1.1:7400", 11, "has a node of its own"},
    {"endpoint.drafts-b-1", "endpoint.drafts-a-1", 11, "already in line 10"},
    {"endpoint.drafts-b-1", "endpoint.drafts b", 10, "endpoint.NAME"},
    {"shed_status = 503", "retired = yes", 9, "no other keys"},
    {"[route drafts open-draft]", "[route draft open-draft]", 13,
     "no [service draft] in this ticket"},
    {"[route drafts open-draft]", "[route open-draft]", 13,
     "[route SERVICE NAME]"},
    {"method = GET", "method = get", 14, "capitals"},
    {"path = /drafts\nimportance", "path = drafts\nimportance", 15,
     "starts with '/'"},
    {"path = /drafts\nimportance", "importance", 13, "path: missing"},
    {"importance = high", "importance = urgent", 16,
     "critical, high, normal, background"},
    {"idempotent = yes", "idempotent = true", 17, "no, yes"},
    {"deadline_ms = 700", "deadline_ms = 0", 18, "from 1 to 600000"},
    {"retries = 2", "retries = 11", 19, "from 0 to 10"},
    {"method = POST", "method = GET", 21, "same method and path"},
    {"[policy shares]", "[policy share]", 25, "did you mean 'shares'?"},
    {"weight.team-a = 2", "weight.team-a = 0", 26, "from 0.001 to 1000"},
    {"weight.team-a = 2", "weight.team-a = nan", 26, "write a number"},
    {"retry_budget = 0.2", "retry_budget = 1.5", 27, "from 0 to 1"},
    {"comment = more", "comment = more\x01", 3, "control character"},
};

std::vector<TicketItem> ItemsOf(const std::string& text) {
  std::vector<TicketItem> items;
  const auto ticket = ParseTicket(text).value();
  for (const auto& item : ticket.items) {
    items.push_back(ParseTicketItem(item).value());
  }
  return items;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TicketTest)

BOOST_AUTO_TEST_CASE(ParsesCompleteTicket) {
  const auto items = ItemsOf(kCompleteTicket);
  BOOST_REQUIRE(items.size() == 2U);
  const auto& policy = *items[0].policy;
  BOOST_TEST(items[0].name == "policy shares");
  BOOST_TEST(policy.share_weights.at("team-a") == 2.0);
  BOOST_TEST(policy.retry_budget == 0.2);
  const auto& service = *items[1].service;
  BOOST_TEST(items[1].name == "service drafts");
  BOOST_TEST(items[1].number == 12U);
  BOOST_TEST(service.slots == 80);
  BOOST_TEST(service.connections == 570);
  BOOST_TEST(service.shed_status == 503);
  BOOST_TEST((service.queue_time == 50ms));
  BOOST_REQUIRE(service.endpoints.size() == 2U);
  BOOST_TEST(service.endpoints[0].name == "drafts-a-1");
  BOOST_TEST(service.endpoints[1].failure_domain == "b");
  BOOST_REQUIRE(service.routes.size() == 2U);
  BOOST_TEST((service.routes[0].importance == Importance::kHigh));
  BOOST_TEST((service.routes[0].deadline == 700ms));
  BOOST_TEST(service.routes[0].retries == 2);
}

BOOST_AUTO_TEST_CASE(RouteWithoutIdempotentKeyIsNonIdempotent) {
  const auto items = ItemsOf(kCompleteTicket);
  const auto* route = FindRoute(*items[1].service, "POST", "/drafts");
  BOOST_REQUIRE(route != nullptr);
  BOOST_TEST(!route->idempotent);
  BOOST_TEST(FindRoute(*items[1].service, "GET", "/drafts/7")->idempotent);
}

BOOST_AUTO_TEST_CASE(FaultHasLineAndRemedy) {
  for (const auto& fault_case : kFaultCases) {
    const auto ticket =
        ParseTicket(ReplaceInTicket(fault_case.from, fault_case.to));
    BOOST_TEST_CONTEXT(fault_case.from << " -> " << fault_case.to) {
      BOOST_REQUIRE(!ticket.has_value());
      bool found = false;
      for (const auto& fault : ticket.error()) {
        BOOST_TEST_INFO(fault.line << ": " << fault.message);
        found = found ||
                (fault.line == fault_case.line &&
                 fault.message.find(fault_case.message) != std::string::npos);
      }
      BOOST_TEST(found);
    }
  }
}

BOOST_AUTO_TEST_CASE(EqualContentInAnyOrderHasEqualText) {
  auto shuffled = ReplaceInTicket(
      "endpoint.drafts-b-1 = 127.0.2.1:7400 cascadia/b\n"
      "endpoint.drafts-a-1 = 127.0.1.1:7400 cascadia/a\n",
      "endpoint.drafts-a-1 = 127.0.1.1:7400   cascadia/a ; first\n"
      "endpoint.drafts-b-1 = 127.0.2.1:7400 cascadia/b\n");
  shuffled += "; a comment at the end";
  const auto expected = ItemsOf(kCompleteTicket);
  const auto actual = ItemsOf(shuffled);
  BOOST_TEST(actual[1].text == expected[1].text);
  BOOST_TEST(actual[1].text_hash == expected[1].text_hash);
  BOOST_TEST(actual[1].ticket_hash == expected[1].ticket_hash);
}

BOOST_AUTO_TEST_CASE(ItemTextRoundTrips) {
  for (const auto& item : ItemsOf(kCompleteTicket)) {
    const auto reparsed = ParseTicketItem(
        {.name = item.name, .number = item.number, .text = item.text});
    BOOST_REQUIRE(reparsed.has_value());
    BOOST_TEST(reparsed->text_hash == item.text_hash);
  }
}

BOOST_AUTO_TEST_CASE(RejectsItemUnderAnotherName) {
  auto item = ParseTicket(kCompleteTicket)->items[1];
  item.name = "service dispatch";
  BOOST_TEST(!ParseTicketItem(item).has_value());
}

BOOST_AUTO_TEST_CASE(RetiredServiceHasNoEndpoints) {
  const auto items =
      ItemsOf("[ticket]\nnumber = 3\n[service drafts]\nretired = yes\n");
  BOOST_REQUIRE(items.size() == 1U);
  BOOST_TEST(items[0].service->endpoints.empty());
}

BOOST_AUTO_TEST_CASE(ExamplesAreRight) {
  for (const std::string name : {"lectern", "sodcek"}) {
    std::ifstream file(AGATERUN_SOURCE_DIR "/docs/examples/" + name + ".ini");
    std::stringstream text;
    text << file.rdbuf();
    const auto ticket = ParseTicket(text.str());
    BOOST_REQUIRE_MESSAGE(ticket.has_value(), name);
    BOOST_TEST(ticket->items.size() == 5U);
  }
}

BOOST_AUTO_TEST_CASE(RejectsOversizedTicketWithoutParsing) {
  const auto ticket = ParseTicket(std::string(kMaxTicketBytes + 1, 'x'));
  BOOST_REQUIRE(!ticket.has_value());
  BOOST_REQUIRE(ticket.error().size() == 1U);
  BOOST_TEST(ticket.error()[0].line == 0);
}

BOOST_AUTO_TEST_CASE(StopsParsingAfterManyFaults) {
  std::string text;
  while (text.size() < kMaxTicketBytes - 8) {
    text += "x\n";
  }
  const auto ticket = ParseTicket(text);
  BOOST_REQUIRE(!ticket.has_value());
  BOOST_TEST(ticket.error().size() < 1100U);
}

BOOST_AUTO_TEST_CASE(RejectsTicketThatExceedsLimitWithDefaults) {
  std::string text =
      "[ticket]\nnumber = 1\n[service s]\nslots = 1\nconnections = 1\n"
      "endpoint.e = 127.0.0.1:1 r/a\n";
  for (int route = 0; route < 10500; ++route) {
    const auto name = std::to_string(route);
    text += "[route s " + name + "]\npath = /" + name + "\n";
  }
  BOOST_REQUIRE(text.size() < kMaxTicketBytes);
  BOOST_TEST(!ParseTicket(text).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
