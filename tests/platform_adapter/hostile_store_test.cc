// Feeds corrupted store responses, generated from a fixed seed, to every
// decoder of store data. AGATERUN_FUZZ_INPUTS sets the number of inputs per
// test.
#include <boost/test/unit_test.hpp>
#include <string>
#include <string_view>

#include "platform/configuration_json.h"
#include "platform/endpoint_json.h"
#include "platform/store_calls.h"
#include "tests/fakes/corrupt.h"

namespace agaterun::platform_adapter {

BOOST_AUTO_TEST_SUITE(HostileStoreTest)

constexpr std::uint64_t kSeed = 20261204;
constexpr std::uint64_t kDefaultInputs = 5'000;
constexpr std::string_view kTokens = R"({}[]":,-0123456789.eE\ntrufals)";

constexpr std::string_view kConfiguration =
    R"({"Version":7,"Resources":[{"TypeUrl":"Routes","Metadata":{"Name":"r"},)"
    R"("Spec":{"Host":"a.example","Prefix":"/read/","Kind":"safe",)"
    R"("Timeout":"1000ms","TargetLatency":"1.5s","Priority":2,"Split":)"
    R"([{"Service":"one","Weight":90},{"Service":"two","Weight":10}],)"
    R"("MaxAttempts":2}},{"TypeUrl":"Limits","Metadata":{},"Spec":)"
    R"({"MaxHeaderBytes":16384,"HeaderTimeout":"3000ms"}}]})";
constexpr std::string_view kEndpoint =
    R"({"Service":"one","Address":"10.0.0.9:8080","Zone":"a","Version":"v1",)"
    R"("Slots":9,"State":"ready","ColdLeft":"1500ms","Seq":4})";
constexpr std::string_view kRange =
    R"({"items":[{"Key":"servers/a","Value":"e30=","Revision":5,"Created":3,)"
    R"("Lease":0}],"Truncated":true,"CurrentRev":9})";
constexpr std::string_view kWatch =
    R"({"events":[{"Key":"servers/a","Value":"e30=","Revision":5},)"
    R"({"Key":"servers/b","Revision":6,"Deleted":true}],"CurrentRev":9})";

// Decodes corrupted copies of `valid`: each must either decode or fail with an
// error message.
template <typename Decode>
void DecodeCorrupted(std::string_view valid, const Decode& decode) {
  SeededRandom random(kSeed);
  std::uint64_t rejected = 0;
  const auto inputs = fakes::FuzzInputs(kDefaultInputs);
  for (std::uint64_t input = 0; input < inputs; ++input) {
    const auto decoded = decode(fakes::Corrupt(valid, kTokens, random));
    if (!decoded) {
      ++rejected;
      BOOST_REQUIRE_MESSAGE(!decoded.error().message.empty(),
                            "seed " << kSeed << " input " << input);
    }
  }
  BOOST_TEST(decode(std::string(valid)).has_value());
  BOOST_TEST(rejected > inputs / 20);
}

HttpResponse ResponseWith(std::string body) {
  return {.status = 200, .body = std::move(body)};
}

BOOST_AUTO_TEST_CASE(CorruptedConfigurationsDecodeOrFailWithMessage) {
  DecodeCorrupted(kConfiguration, [](const std::string& text) {
    return DecodeConfigurationJson(text);
  });
}

BOOST_AUTO_TEST_CASE(CorruptedEntriesDecodeOrFailWithMessage) {
  DecodeCorrupted(kEndpoint, [](const std::string& text) {
    return DecodeEndpointJson("a", text);
  });
}

BOOST_AUTO_TEST_CASE(CorruptedPagesDecodeOrFailWithMessage) {
  DecodeCorrupted(kRange, [](std::string text) {
    return DecodeRangeResponse(ResponseWith(std::move(text)));
  });
}

BOOST_AUTO_TEST_CASE(CorruptedWatchResponsesDecodeOrFailWithMessage) {
  DecodeCorrupted(kWatch, [](std::string text) {
    return DecodeWatchResponse(ResponseWith(std::move(text)));
  });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::platform_adapter
