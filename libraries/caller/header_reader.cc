#include "libraries/caller/header_reader.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace agaterun::caller {

bool IsProductHeader(std::string_view name) {
  return EqualsIgnoringCase(name.substr(0, kProductHeaderPrefix.size()),
                            kProductHeaderPrefix);
}

Result<std::optional<std::string_view>> ReadSingleHeader(
    const HttpHeaders& headers,
    std::string_view name) {
  std::optional<std::string_view> found;
  for (const auto& header : headers) {
    if (!EqualsIgnoringCase(header.name, name)) {
      continue;
    }
    if (found) {
      return MakeError(ErrorKind::kMalformedMessage,
                       std::string(name) + " stands there twice; send it once");
    }
    found = header.value;
  }
  return found;
}

std::optional<std::uint64_t> ReadNumber(std::string_view text, int base) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data(), end, number, base);
  if (error != std::errc() || last != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

std::string WriteHexadecimal(std::uint64_t number, std::size_t digits) {
  std::array<char, 16> buffer;
  const auto [last, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), number, 16);
  const std::string text(buffer.data(), last);
  return std::string(digits - std::min(digits, text.size()), '0') + text;
}

Result<std::string> ReadToken(std::string_view text,
                              std::string_view kind,
                              std::size_t limit) {
  const bool visible = std::all_of(text.begin(), text.end(),
                                   [](char c) { return c > ' ' && c < 0x7f; });
  if (text.empty() || text.size() > limit || !visible) {
    return MakeError(ErrorKind::kMalformedMessage,
                     std::string(kind) + " must have 1 to " +
                         std::to_string(limit) +
                         " visible ASCII characters without spaces");
  }
  return std::string(text);
}

}  // namespace agaterun::caller
