#include "libraries/base/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <numeric>
#include <unordered_map>

namespace agaterun {

namespace {

// What libinih made of one line.
struct ParsedLine {
  std::string section;
  std::string key;
  std::string value;
  bool has_entry = false;
};

int KeepEntry(void* user,
              const char* section,
              const char* key,
              const char* value) {
  auto* parsed = static_cast<ParsedLine*>(user);
  parsed->section = section;
  parsed->key = key;
  parsed->value = value;
  parsed->has_entry = true;
  return 1;
}

std::string_view TrimLeft(std::string_view text) {
  const auto start = text.find_first_not_of(" \t\r\v\f");
  return start == std::string_view::npos ? "" : text.substr(start);
}

bool IsComment(std::string_view text) {
  return text.starts_with(';') || text.starts_with('#');
}

// libinih takes lines one at a time: its Debian build reports no line numbers,
// only the first broken line, and silently joins indented lines to the one
// before.
class LineSplitter {
 public:
  LineSplitter(std::vector<IniSection>& sections, IniFaults& faults)
      : sections(sections), faults(faults) {}

  void Take(std::string_view raw) {
    ++this->line;
    const auto text = TrimLeft(raw);
    if (text.empty() || IsComment(text)) {
      return;
    }
    if (raw.size() > kLongestIniLine) {
      this->Fail("", "line of " + std::to_string(raw.size()) +
                         " bytes; shorten it to " +
                         std::to_string(kLongestIniLine));
      return;
    }
    if (std::any_of(raw.begin(), raw.end(), IsControlCharacter)) {
      this->Fail("", "control character; remove it");
      return;
    }
    if (text.front() == '[') {
      this->TakeSection(text);
    } else {
      this->TakeEntry(text);
    }
  }

 private:
  static bool IsControlCharacter(char character) {
    const auto code = static_cast<unsigned char>(character);
    return (code < 0x20 && character != '\t' && character != '\r') ||
           code == 0x7f;
  }

  std::string CurrentSection() const {
    return this->sections.empty() ? "" : this->sections.back().name;
  }

  void Fail(std::string key, std::string message) {
    this->faults.push_back({.section = this->CurrentSection(),
                            .key = std::move(key),
                            .line = this->line,
                            .message = std::move(message)});
  }

  void TakeSection(std::string_view text) {
    const auto close = text.find(']');
    if (close == std::string_view::npos) {
      this->OpenSection(std::string(text));
      this->Fail("", "section without ']'; write it as [name]");
      return;
    }
    // A probe line makes libinih tell the section's name.
    ParsedLine parsed;
    const std::string probe = std::string(text.substr(0, close + 1)) + "\n_=_";
    ini_parse_string(probe.c_str(), KeepEntry, &parsed);
    const std::string name(text.substr(1, close - 1));
    this->OpenSection(name);
    if (name.size() > kLongestIniName) {
      this->Fail("", "section name of " + std::to_string(name.size()) +
                         " bytes; shorten it to " +
                         std::to_string(kLongestIniName));
    } else if (parsed.section != name || name.empty()) {
      this->Fail("", "section has no proper name; write it as [name]");
    }
    const auto rest = TrimLeft(text.substr(close + 1));
    if (!rest.empty() && !IsComment(rest)) {
      this->Fail("", "text after the section's ']'; put it on its own line");
    }
  }

  void OpenSection(std::string name) {
    this->keys.clear();
    const auto [earlier, is_new] = this->names.emplace(name, this->line);
    this->sections.push_back({.name = std::move(name), .line = this->line});
    if (!is_new) {
      this->Fail("", "section stands already in line " +
                         std::to_string(earlier->second) +
                         "; put its keys together");
    }
  }

  void TakeEntry(std::string_view text) {
    ParsedLine parsed;
    const std::string copy(text);
    if (ini_parse_string(copy.c_str(), KeepEntry, &parsed) != 0 ||
        !parsed.has_entry || parsed.key.empty()) {
      this->Fail("", "no 'key = value' line; write a value or remove it");
      return;
    }
    // libinih also splits at ':', which stands inside addresses.
    if (text[text.find_first_of("=:")] == ':') {
      this->Fail(parsed.key, "no '=' after the key; write 'key = value'");
      return;
    }
    if (parsed.key.size() > kLongestIniName) {
      this->Fail(parsed.key, "key of " + std::to_string(parsed.key.size()) +
                                 " bytes; shorten it to " +
                                 std::to_string(kLongestIniName));
      return;
    }
    if (this->sections.empty()) {
      this->Fail(parsed.key, "key before the first [section]; move it there");
      return;
    }
    const auto [earlier, is_new] = this->keys.emplace(parsed.key, this->line);
    if (!is_new) {
      this->Fail(parsed.key, "key stands already in line " +
                                 std::to_string(earlier->second) +
                                 "; keep one of the two");
      return;
    }
    auto& entries = this->sections.back().entries;
    if (entries.size() == kMostIniEntries) {
      this->Fail(parsed.key, "section with more than " +
                                 std::to_string(kMostIniEntries) +
                                 " keys; remove some");
      return;
    }
    entries.push_back(
        {.key = parsed.key, .value = parsed.value, .line = this->line});
  }

  std::vector<IniSection>& sections;
  IniFaults& faults;
  int line = 0;
  std::unordered_map<std::string, int> names;  // Sections with their lines.
  std::unordered_map<std::string, int> keys;   // Of the current section.
};

// Levenshtein's distance.
std::size_t EditDistance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({row[j + 1] + 1, row[j] + 1, replaced});
    }
  }
  return row.back();
}

}  // namespace

const IniEntry* IniSection::Find(std::string_view key) const {
  const auto found =
      std::find_if(this->entries.begin(), this->entries.end(),
                   [&](const IniEntry& entry) { return entry.key == key; });
  return found == this->entries.end() ? nullptr : &*found;
}

IniDocument IniDocument::Parse(std::string_view text, IniFaults& faults) {
  IniDocument document;
  constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
  if (text.starts_with(kByteOrderMark)) {
    text.remove_prefix(kByteOrderMark.size());
  }
  LineSplitter splitter(document.sections, faults);
  while (!text.empty() && faults.size() < kMostIniFaults) {
    const auto end = std::min(text.find('\n'), text.size());
    splitter.Take(text.substr(0, end));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return document;
}

const IniSection* IniDocument::Find(std::string_view name) const {
  const auto found = std::find_if(
      this->sections.begin(), this->sections.end(),
      [&](const IniSection& section) { return section.name == name; });
  return found == this->sections.end() ? nullptr : &*found;
}

std::string DidYouMean(std::string_view name,
                       const std::vector<std::string>& candidates) {
  constexpr std::size_t kFarthest = 3;
  const std::string* best = nullptr;
  std::size_t best_distance = kFarthest;
  for (const auto& candidate : candidates) {
    const auto distance = EditDistance(name, candidate);
    if (distance < best_distance && distance < candidate.size()) {
      best = &candidate;
      best_distance = distance;
    }
  }
  return best == nullptr ? "" : "; did you mean '" + *best + "'?";
}

}  // namespace agaterun
