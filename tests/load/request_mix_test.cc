#include "libraries/load/request_mix.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::load {

BOOST_AUTO_TEST_SUITE(RequestMixTest)

BOOST_AUTO_TEST_CASE(ReadsEveryKey) {
  const auto mix = RequestMix::Parse(
      "[request open]\n"
      "method = POST\n"
      "target = /drafts/open\n"
      "body = x\n"
      "importance = high\n"
      "idempotent = yes\n"
      "weight = 3\n"
      "timeout_ms = 250\n");
  BOOST_REQUIRE(mix.has_value());
  const auto& kind = mix->Kinds().front();
  BOOST_TEST(kind.name == "open");
  BOOST_TEST(kind.method == "POST");
  BOOST_TEST(kind.target == "/drafts/open");
  BOOST_TEST(kind.idempotent);
  BOOST_TEST(kind.weight == 3);
  BOOST_TEST((kind.timeout == 250ms));
}

BOOST_AUTO_TEST_CASE(FaultsNameTheRemedy) {
  const std::pair<const char*, const char*> cases[] = {
      {"", "add a [request NAME] section"},
      {"[requests]\na = b\n", "write [request NAME]"},
      {"[request a]\nweight = none\n", "number above 0"},
      {"[request a]\nidempotent = maybe\n", "yes or no"},
      {"[request a]\nwieght = 1\n", "keys are"},
      {"[request a]\nweight = 1\n", "set target"},
  };
  for (const auto& [text, remedy] : cases) {
    const auto mix = RequestMix::Parse(text);
    BOOST_REQUIRE(!mix.has_value());
    BOOST_TEST(mix.error().message.find(remedy) != std::string::npos,
               mix.error().message);
  }
}

BOOST_AUTO_TEST_CASE(DrawsByWeight) {
  const auto mix = RequestMix::Parse(
      "[request often]\ntarget = /a/b\nweight = 9\n"
      "[request seldom]\ntarget = /a/c\nweight = 1\n");
  BOOST_REQUIRE(mix.has_value());
  SeededRandom random(1);
  int seldom = 0;
  constexpr int kDraws = 10'000;
  for (int draw = 0; draw < kDraws; ++draw) {
    seldom += mix->Draw(random) == 1 ? 1 : 0;
  }
  BOOST_TEST(seldom > kDraws / 20);
  BOOST_TEST(seldom < kDraws * 3 / 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::load
