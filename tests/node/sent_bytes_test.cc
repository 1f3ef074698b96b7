#include "libraries/node/sent_bytes.h"

#include <boost/test/unit_test.hpp>

namespace agaterun::node {

BOOST_AUTO_TEST_SUITE(SentBytesTest)

BOOST_AUTO_TEST_CASE(SumsByKindOverSelectedReceivers) {
  constexpr NodeAddress kSameDomain{.ip = 1, .port = 7300};
  constexpr NodeAddress kOtherDomain{.ip = 2, .port = 7300};
  SentBytes sent;
  sent.Add(kSameDomain, FrameKind::kVisit, 100);
  sent.Add(kSameDomain, FrameKind::kVisit, 20);
  sent.Add(kOtherDomain, FrameKind::kReply, 3);
  const auto same_domain = sent.Sum([&](auto to) { return to == kSameDomain; });
  const auto all = sent.Sum([](auto /*to*/) { return true; });
  const auto none = sent.Sum([](auto /*to*/) { return false; });
  for (std::size_t index = 0; index < kFrameKindNames.size(); ++index) {
    const auto kind = kFrameKindNames[index].value;
    const std::uint64_t visits = kind == FrameKind::kVisit ? 120 : 0;
    const std::uint64_t replies = kind == FrameKind::kReply ? 3 : 0;
    BOOST_TEST(same_domain[index] == visits);
    BOOST_TEST(all[index] == visits + replies);
    BOOST_TEST(none[index] == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
