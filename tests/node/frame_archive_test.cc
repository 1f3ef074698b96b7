#include "libraries/node/frame_archive.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace agaterun::node {

BOOST_AUTO_TEST_SUITE(FrameArchiveTest)

template <class Number>
std::string Write(Number number) {
  std::string bytes;
  FrameOutputArchive archive(bytes);
  archive.WriteNumber(number);
  return bytes;
}

template <class Number>
Number Read(const std::string& bytes) {
  Number number{};
  FrameInputArchive archive(bytes);
  archive.ReadNumber(number);
  BOOST_TEST(archive.BytesLeft() == 0U);
  return number;
}

BOOST_AUTO_TEST_CASE(NumbersRoundTrip) {
  using Limits = std::numeric_limits<std::uint64_t>;
  std::vector<std::uint64_t> numbers = {0, 1, 127, 128, 300, Limits::max()};
  for (int bit = 0; bit < Limits::digits; ++bit) {
    numbers.push_back(std::uint64_t{1} << bit);
    numbers.push_back((std::uint64_t{1} << bit) - 1);
  }
  for (const auto number : numbers) {
    const auto bytes = Write(number);
    BOOST_TEST(bytes.size() <= 9U);
    BOOST_TEST(Read<std::uint64_t>(bytes) == number);
  }
  for (const std::int64_t number : {-1L, 5'000'000'000L, -7L}) {
    BOOST_TEST(Read<std::int64_t>(Write(number)) == number);
  }
  BOOST_TEST(Read<std::int32_t>(Write(std::int32_t{-3})) == -3);
  BOOST_TEST(Read<std::uint16_t>(Write(std::uint16_t{7300})) == 7300);
}

BOOST_AUTO_TEST_CASE(SmallNumbersTakeOneByte) {
  BOOST_TEST(Write(std::uint64_t{0}).size() == 1U);
  BOOST_TEST(Write(std::uint32_t{127}).size() == 1U);
  BOOST_TEST(Write(std::uint32_t{128}).size() == 2U);
}

BOOST_AUTO_TEST_CASE(InvalidNumberEncodingsAreRejected) {
  using namespace std::string_literals;
  // Truncated, with a redundant byte, and larger than its field.
  BOOST_CHECK_THROW(Read<std::uint64_t>("\x80"s), cereal::Exception);
  BOOST_CHECK_THROW(Read<std::uint64_t>("\x80\x00"s), cereal::Exception);
  BOOST_CHECK_THROW(Read<std::uint32_t>("\xff\xff\xff\xff\x1f"s),
                    cereal::Exception);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::node
