#ifndef LIBRARIES_BASE_INI_DOCUMENT_H_
#define LIBRARIES_BASE_INI_DOCUMENT_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/ini_fault.h"

namespace agaterun {

// Longest line, section name and key that an INI text may have, in bytes.
inline constexpr std::size_t kLongestIniLine = 196;
inline constexpr std::size_t kLongestIniName = 48;
// Most keys in one section, and most faults after which reading stops.
inline constexpr std::size_t kMostIniEntries = 4096;
inline constexpr std::size_t kMostIniFaults = 1000;

struct IniEntry {
  std::string key;
  std::string value;
  int line = 0;
};

struct IniSection {
  std::string name;
  int line = 0;
  std::vector<IniEntry> entries;  // In the order of the text.

  // The entry called `key`, or nullptr.
  const IniEntry* Find(std::string_view key) const;
};

// An INI text with the lines of its sections and keys. Strict: what a reader
// could take for something else than it is, is a fault.
class IniDocument {
 public:
  // Splits `text`. Appends every fault of form to `faults`: broken lines,
  // repeated sections and keys, keys outside sections, too long ones.
  static IniDocument Parse(std::string_view text, IniFaults& faults);

  const std::vector<IniSection>& Sections() const { return this->sections; }

  // The section called `name`, or nullptr.
  const IniSection* Find(std::string_view name) const;

 private:
  std::vector<IniSection> sections;
};

// Name of `candidates` that a person may have meant by `name`, as the remedy
// "; did you mean 'address'?", or "" when none is near.
std::string DidYouMean(std::string_view name,
                       const std::vector<std::string>& candidates);

}  // namespace agaterun

#endif  // LIBRARIES_BASE_INI_DOCUMENT_H_
