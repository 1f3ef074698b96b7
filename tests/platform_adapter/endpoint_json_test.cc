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
      {R"(1700000000123)", "99999999999999999999"},
      {R"(1700000000123)", "[[1]]"},
      {R"("10.128.0.9:8080")", R"("10.128.0.9:0")"},
      {R"("10.128.0.9:8080")", R"("10.128.0.9:65536")"},
      {R"("10.128.0.9:8080")", R"("10.128.0.9:99999999999")"},
      {R"("10.128.0.9:8080")", R"("10.128.0.9:-1")"},
      {R"("10.128.0.9:8080")", R"("10.128.0.900:8080")"},
      {R"("10.128.0.9:8080")", R"({"Ip":"10.128.0.9","Port":8080})"},
      {R"("Slots":91)", R"("Slots":-1)"},
      {R"("Slots":91)", R"("Slots":100001)"},
      {R"("Slots":91)", R"("Slots":4294967387)"},
      {R"("Slots":91)", R"("Slots":9223372036854775899)"},
      {R"("Slots":91)", R"("Slots":18446744073709551616)"},
      {R"("Slots":91)", R"("Slots":1e400)"},
      {R"("Slots":91)", R"("Slots":[91])"},
      {R"("Seq":4)", R"("Seq":9223372036854775808)"},
      {R"("Seq":4)", R"("Seq":18446744073709551616)"},
      {R"("Seq":4)", R"("Seq":-1e999)"},
      {R"("ColdLeft":"1500ms")", R"("ColdLeft":"99999999999999999999s")"},
      {R"("ColdLeft":"1500ms")", R"("ColdLeft":"1e999s")"},
      {R"("ColdLeft":"1500ms")", R"("ColdLeft":"-1ms")"},
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

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Failure at systems like this one: nodes that read a deeply nested entry ended
// again and again. Here, one of 1 MB took 80 MB of memory to parse.
BOOST_AUTO_TEST_CASE(DeeplyNestedEntryIsRefusedOrIgnoredWhereUnknown) {
  for (const std::size_t depth : {100U, 5'000U, 8'000U}) {
    BOOST_TEST(!DecodeEndpointJson("i-1", Nested(depth)).has_value());
    BOOST_TEST(!DecodeEndpointJson("i-1", std::string(depth, '[')).has_value());
    std::string around = kCompleteEntry;
    around.insert(1, R"("Labels":)" + Nested(depth) + ",");
    // A field that isn't known says nothing.
    BOOST_TEST(DecodeEndpointJson("i-1", around).has_value() ==
               (around.size() <= 16U * 1024));
    std::string inside = kCompleteEntry;
    const std::string slots = R"("Slots":91)";
    inside.replace(inside.find(slots), slots.size(),
                   R"("Slots":)" + Nested(depth));
    BOOST_TEST(!DecodeEndpointJson("i-1", inside).has_value());
  }
  const auto large = DecodeEndpointJson("i-1", Nested(500'000));
  BOOST_TEST_REQUIRE(!large.has_value());
  BOOST_TEST(large.error().message.find("larger than 16384 bytes") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ErrorShowsBeginningOfLongText) {
  std::string text = kCompleteEntry;
  text.replace(text.find("ready"), 5, std::string(10'000, 'x'));
  BOOST_TEST(DecodeEndpointJson("i-1", text).error().message.size() < 200U);
}

BOOST_AUTO_TEST_CASE(DecodesDrainingEntryAsLeaving) {
  std::string text = kCompleteEntry;
  text.replace(text.find("ready"), 5, "draining");
  BOOST_TEST(DecodeEndpointJson("i-1", text)->leaving);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
