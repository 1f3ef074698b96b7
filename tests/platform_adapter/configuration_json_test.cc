#include "platform/configuration_json.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(ConfigurationJsonTest)

constexpr const char* kCompleteConfiguration = R"({"Version":7,"Resources":[
 {"TypeUrl":"Routes","Metadata":{"Name":"r-read"},"Spec":{"Host":"a.example",
  "Prefix":"/read/","Kind":"safe","Timeout":"1000ms","TargetLatency":"1.5s",
  "Priority":2,"Split":[{"Service":"one","Weight":90},
  {"Service":"two","Weight":10}],"MaxAttempts":2}},
 {"TypeUrl":"Routes","Metadata":{"Name":"r-send"},"Spec":{"Host":"b.example",
  "Prefix":"/send/","Kind":"unsafe","Timeout":"1200ms","Priority":0,
  "Service":"one","MaxAttempts":3}},
 {"TypeUrl":"Routes","Metadata":{"Name":"r-load"},"Spec":{"Host":"b.example",
  "Prefix":"/load/","Kind":"download","Timeout":"2s","Service":"two"}},
 {"TypeUrl":"Services","Metadata":{"Name":"one"},"Spec":{"HealthPath":"/health",
  "MaxConnections":646,"Protocol":"h1","Tls":false}},
 {"TypeUrl":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,
  "MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},
 {"TypeUrl":"Weather","Metadata":{"Name":"x"},"Spec":{}}]})";

BOOST_AUTO_TEST_CASE(DecodesCompleteConfiguration) {
  const auto decoded = DecodeConfigurationJson(kCompleteConfiguration);
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->version == 7U);
  BOOST_TEST_REQUIRE(decoded->routes.size() == 3U);
  const auto& route = decoded->routes[0];
  BOOST_TEST(route.name == "r-read");
  BOOST_TEST(route.IsIdempotent());
  BOOST_TEST((route.timeout == 1s));
  BOOST_TEST((route.target_latency == 1500ms));
  BOOST_TEST(route.priority == 2);
  BOOST_TEST(route.max_endpoints == 2);
  BOOST_TEST_REQUIRE(route.services.size() == 2U);
  BOOST_TEST(route.services[1].service == "two");
  BOOST_TEST(route.services[1].weight == 10);
  BOOST_TEST(!decoded->routes[1].IsIdempotent());
  BOOST_TEST(decoded->routes[2].IsIdempotent());
  BOOST_TEST(decoded->services.at("one").connections == 646);
  BOOST_TEST(decoded->limits.body_bytes == 67108864U);
  BOOST_TEST((decoded->limits.idle_timeout == 15s));
}

BOOST_AUTO_TEST_CASE(UnknownRequestKindRunsAtMostOnce) {
  const auto decoded = DecodeConfigurationJson(
      R"({"Version":1,"Resources":[{"TypeUrl":"Routes","Metadata":{"Name":"r"},
      "Spec":{"Kind":"strange","Timeout":"1s","Service":"one"}}]})");
  BOOST_TEST_REQUIRE(decoded.has_value());
  BOOST_TEST(!decoded->routes[0].IsIdempotent());
}

BOOST_AUTO_TEST_CASE(RejectsInvalidConfigurations) {
  const char* texts[] = {
      "",
      "not json",
      "[]",
      "{}",
      R"({"Version":0,"Resources":[]})",
      R"({"Version":"7","Resources":[]})",
      R"({"Version":7})",
      R"({"Version":7,"Resources":{}})",
      R"({"Version":7,"Resources":[3]})",
      R"({"Version":7,"Resources":[{"TypeUrl":"Routes","Metadata":3}]})",
      R"({"Version":7,"Resources":[{"TypeUrl":"Routes","Spec":{"Service":"a"}}]})",
      R"({"Version":7,"Resources":[{"TypeUrl":"Routes","Spec":{"Timeout":"1s"}}]})",
      R"({"Version":7,"Resources":[{"TypeUrl":"Routes",
        "Spec":{"Timeout":"1s","Split":[{"Service":"a"}]}}]})",
      R"({"Version":7,"Resources":[{"TypeUrl":"Routes",
        "Spec":{"Timeout":"1 hour","Service":"a"}}]})",
  };
  for (const auto* text : texts) {
    const auto decoded = DecodeConfigurationJson(text);
    BOOST_TEST(!decoded.has_value(), text);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
