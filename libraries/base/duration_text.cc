#include "libraries/base/duration_text.h"

#include <charconv>

namespace agaterun {

namespace {

// Longer times are taken for mistakes.
constexpr double kLongestSeconds = 1e6;

}  // namespace

std::optional<Duration> ParseDurationText(std::string_view text) {
  double seconds_per_unit = 1;
  if (text.ends_with("ms")) {
    seconds_per_unit = 1e-3;
    text.remove_suffix(2);
  } else if (text.ends_with('s')) {
    text.remove_suffix(1);
  } else {
    return std::nullopt;
  }
  double number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  const double seconds = number * seconds_per_unit;
  if (!(seconds >= 0 && seconds <= kLongestSeconds)) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace agaterun
