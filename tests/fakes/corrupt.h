#ifndef TESTS_FAKES_CORRUPT_H_
#define TESTS_FAKES_CORRUPT_H_

#include <cstdlib>
#include <string>
#include <string_view>

#include "libraries/base/random.h"

namespace agaterun::fakes {

// Inputs of each test with spoiled bytes: AGATERUN_FUZZ_INPUTS, or `usual`.
inline std::uint64_t FuzzInputs(std::uint64_t usual) {
  const char* text = std::getenv("AGATERUN_FUZZ_INPUTS");
  return text == nullptr ? usual : std::strtoull(text, nullptr, 10);
}

// Replaces, takes out, doubles or adds a few bytes; half of those that it puts
// in are `tokens`, which mean something to whoever reads.
inline std::string Corrupt(std::string_view valid,
                           std::string_view tokens,
                           SeededRandom& random) {
  constexpr std::uint64_t kMostMutations = 5;
  constexpr std::uint64_t kMostTakenOut = 8;
  constexpr std::uint64_t kMostDoubled = 24;
  std::string text(valid);
  const auto mutations = 1 + random.Below(kMostMutations);
  for (std::uint64_t count = 0; count < mutations; ++count) {
    const auto at = static_cast<std::size_t>(random.Below(text.size() + 1));
    const auto byte = random.Below(2) == 0
                          ? tokens[random.Below(tokens.size())]
                          : static_cast<char>(random.Below(256));
    switch (random.Below(4)) {
      case 0:
        text.insert(at, 1, byte);
        break;
      case 1:
        text.erase(at, random.Below(kMostTakenOut));
        break;
      case 2:
        text.insert(at, text.substr(at, random.Below(kMostDoubled)));
        break;
      default:
        if (at < text.size()) {
          text[at] = byte;
        }
    }
  }
  return text;
}

}  // namespace agaterun::fakes

#endif  // TESTS_FAKES_CORRUPT_H_
