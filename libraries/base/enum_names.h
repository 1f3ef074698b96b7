#ifndef LIBRARIES_BASE_ENUM_NAMES_H_
#define LIBRARIES_BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace agaterun {

// One row of the table of names that stands beside an enum class.
template <typename Enum>
struct EnumName {
  Enum value;
  std::string_view name;
};

// Name of `value` in `names`, or "?" for a value that the table lacks.
template <typename Enum, std::size_t kSize>
constexpr std::string_view NameOf(
    const std::array<EnumName<Enum>, kSize>& names,
    Enum value) {
  for (const auto& row : names) {
    if (row.value == value) {
      return row.name;
    }
  }
  return "?";
}

// Value that `name` stands for in `names`, or nothing.
template <typename Enum, std::size_t kSize>
constexpr std::optional<Enum> FromName(
    const std::array<EnumName<Enum>, kSize>& names,
    std::string_view name) {
  for (const auto& row : names) {
    if (row.name == name) {
      return row.value;
    }
  }
  return std::nullopt;
}

}  // namespace agaterun

#endif  // LIBRARIES_BASE_ENUM_NAMES_H_
