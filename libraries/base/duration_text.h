#ifndef LIBRARIES_BASE_DURATION_TEXT_H_
#define LIBRARIES_BASE_DURATION_TEXT_H_

#include <optional>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun {

// Reads a time: a number and "ms" or "s", such as
// "1500ms" or "2.5s". Nothing when it is no such text or negative.
std::optional<Duration> ParseDurationText(std::string_view text);

}  // namespace agaterun

#endif  // LIBRARIES_BASE_DURATION_TEXT_H_
