#ifndef LIBRARIES_BASE_INI_SECTION_READER_H_
#define LIBRARIES_BASE_INI_SECTION_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/ini_document.h"
#include "libraries/base/node_address.h"
#include "libraries/base/time.h"

namespace agaterun {

// Reads the keys of one section by type and collects their faults. Getters
// return nothing when the key is missing or has a fault.
class IniSectionReader {
 public:
  // Both outlive the reader.
  IniSectionReader(const IniSection& section, IniFaults& faults)
      : section(section), faults(faults) {}

  // A text that is not empty.
  std::optional<std::string> Text(std::string_view key);
  // A whole number in [least, most].
  std::optional<std::int64_t> Integer(std::string_view key,
                                      std::int64_t least,
                                      std::int64_t most);
  // A number in [least, most].
  std::optional<double> Number(std::string_view key, double least, double most);
  // A time in [least, most], such as "250ms" or "2.5s".
  std::optional<Duration> Time(std::string_view key,
                               Duration least,
                               Duration most);
  // "yes" or "no".
  std::optional<bool> YesOrNo(std::string_view key);
  // "IP:PORT".
  std::optional<NodeAddress> Address(std::string_view key);
  // One of `words`, as its index.
  std::optional<std::size_t> OneOf(std::string_view key,
                                   const std::vector<std::string>& words);
  // All entries called `prefix` and something more, such as "endpoint.NAME".
  std::vector<const IniEntry*> StartingWith(std::string_view prefix);

  // Reports a key that is required and missing, with an example for it.
  void Require(std::string_view key, std::string_view example);
  // Reports a fault of the key, at its line or at the section's.
  void Fail(std::string_view key, std::string message);
  // Reports the keys that no getter asked for.
  void Finish();

 private:
  const IniEntry* Take(std::string_view key);

  const IniSection& section;
  IniFaults& faults;
  std::vector<std::string> known;
  std::vector<std::string> known_prefixes;
};

}  // namespace agaterun

#endif  // LIBRARIES_BASE_INI_SECTION_READER_H_
