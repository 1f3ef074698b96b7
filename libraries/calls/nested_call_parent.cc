#include "libraries/calls/nested_call_parent.h"

namespace agaterun::calls {

std::optional<std::string_view> ParentIdOf(std::string_view request_id) {
  constexpr char kSeparator = '.';
  const auto separator = request_id.rfind(kSeparator);
  if (separator == std::string_view::npos) {
    return std::nullopt;
  }
  return request_id.substr(0, separator);
}

}  // namespace agaterun::calls
