#include "platform/endpoint_json.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(EndpointJsonTest)

constexpr const char* kCompleteEntry =
    R"({"Service":"one","Address":"10.128.0.9:8080","Zone":"a","Version":"v1",
"Slots":91,"State":"ready","ColdLeft":"1500ms","Seq":4,"born":1700000000123})";

BOOST_AUTO_TEST_CASE(DecodesCompleteEntry) {
  const auto entry = DecodeEndpointJson("i-1", kCompleteEntry);
  BOOST_TEST_REQUIRE(entry.has_value());
  BOOST_TEST(entry->id == "i-1");
  BOOST_TEST(entry->service == "one");
  BOOST_TEST(entry->address.ToString() == "10.128.0.9:8080");
  BOOST_TEST(entry->failure_domain == "a");
  BOOST_TEST(entry->slots == 91);
  BOOST_TEST(!entry->leaving);
  BOOST_TEST((entry->warmup_remaining == 1500ms));
  BOOST_TEST(entry->started_at == 1700000000123U);
}

// Entries of other writers may have other fields; they must not become
// endpoints.
BOOST_AUTO_TEST_CASE(RejectsEntriesWithInvalidFields) {
  struct Row {
    const char* old_text;
    const char* new_text;
  };
  const Row rows[] = {
      {R"("Service":"one",)", ""},
      {R"("Service":"one")", R"("Service":"")"},
      {R"("Service":"one")", R"("Service":1)"},
      {R"("10.128.0.9:8080")", R"("nowhere")"},
      {R"("10.128.0.9:8080")", "7"},
      {R"("Zone":"a")", R"("Zone":null)"},
      {R"("Version":"v1",)", ""},
      {R"("Slots":91)", R"("Slots":"91")"},
      {R"("Slots":91)", R"("Slots":0)"},
      {R"("Slots":91)", R"("Slots":91.5)"},
      {R"("State":"ready")", R"("State":"resting")"},
      {R"("State":"ready")", R"("State":true)"},
      {R"("ColdLeft":"1500ms")", R"("ColdLeft":1500)"},
      {R"("ColdLeft":"1500ms")", R"("ColdLeft":"soon")"},
      {R"("Seq":4)", R"("Seq":"4")"},
      {R"(1700000000123)", R"("now")"},
      {R"(1700000000123)", "-5"},
  };
  for (const auto& [old_text, new_text] : rows) {
    std::string text = kCompleteEntry;
    const auto position = text.find(old_text);
    BOOST_TEST_REQUIRE(position != std::string::npos, old_text);
    text.replace(position, std::string(old_text).size(), new_text);
    BOOST_TEST(!DecodeEndpointJson("i-1", text).has_value(), text);
  }
  BOOST_TEST(!DecodeEndpointJson("", kCompleteEntry).has_value());
  BOOST_TEST(!DecodeEndpointJson("i-1", "\xff\xfe").has_value());
  BOOST_TEST(!DecodeEndpointJson("i-1", "[]").has_value());
}

BOOST_AUTO_TEST_CASE(DecodesDrainingEntryAsLeaving) {
  std::string text = kCompleteEntry;
  text.replace(text.find("ready"), 5, "draining");
  BOOST_TEST(DecodeEndpointJson("i-1", text)->leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
