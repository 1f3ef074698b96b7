#include "libraries/base/ini_section_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "libraries/base/duration_text.h"

namespace agaterun {

namespace {

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

// Shortest text of a bound, without trailing zeros.
std::string ToText(double number) {
  char buffer[32];
  const auto [end, error] =
      std::to_chars(buffer, buffer + sizeof(buffer), number);
  return error == std::errc() ? std::string(buffer, end) : "?";
}

template <typename T>
std::optional<T> ParseWhole(std::string_view text) {
  T value{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

}  // namespace

const IniEntry* IniSectionReader::Take(std::string_view key) {
  this->known.emplace_back(key);
  const auto* entry = this->section.Find(key);
  if (entry != nullptr && entry->value.empty()) {
    this->Fail(key, "no value; write one or remove the key");
    return nullptr;
  }
  return entry;
}

std::optional<std::string> IniSectionReader::Text(std::string_view key) {
  const auto* entry = this->Take(key);
  return entry == nullptr ? std::nullopt : std::optional(entry->value);
}

std::optional<std::int64_t> IniSectionReader::Integer(std::string_view key,
                                                      std::int64_t least,
                                                      std::int64_t most) {
  const auto* entry = this->Take(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto value = ParseWhole<std::int64_t>(entry->value);
  if (!value || *value < least || *value > most) {
    this->Fail(key, Quoted(entry->value) + " is not allowed; write a whole " +
                        "number from " + std::to_string(least) + " to " +
                        std::to_string(most));
    return std::nullopt;
  }
  return value;
}

std::optional<double> IniSectionReader::Number(std::string_view key,
                                               double least,
                                               double most) {
  const auto* entry = this->Take(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto value = ParseWhole<double>(entry->value);
  if (!value || !std::isfinite(*value) || *value < least || *value > most) {
    this->Fail(key, Quoted(entry->value) + " is not allowed; write a number " +
                        "from " + ToText(least) + " to " + ToText(most));
    return std::nullopt;
  }
  return value;
}

std::optional<Duration> IniSectionReader::Time(std::string_view key,
                                               Duration least,
                                               Duration most) {
  const auto* entry = this->Take(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto value = ParseDurationText(entry->value);
  if (!value || *value < least || *value > most) {
    this->Fail(key, Quoted(entry->value) +
                        " is not allowed; write a time from " +
                        ToText(ToMilliseconds(least)) + "ms to " +
                        ToText(ToMilliseconds(most)) + "ms, such as 250ms");
    return std::nullopt;
  }
  return value;
}

std::optional<bool> IniSectionReader::YesOrNo(std::string_view key) {
  const auto choice = this->OneOf(key, {"no", "yes"});
  return choice ? std::optional(*choice == 1) : std::nullopt;
}

std::optional<NodeAddress> IniSectionReader::Address(std::string_view key) {
  const auto* entry = this->Take(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto address = NodeAddress::Parse(entry->value);
  if (!address) {
    this->Fail(key, address.error().message);
    return std::nullopt;
  }
  return *address;
}

std::optional<std::size_t> IniSectionReader::OneOf(
    std::string_view key,
    const std::vector<std::string>& words) {
  const auto* entry = this->Take(key);
  if (entry == nullptr) {
    return std::nullopt;
  }
  const auto found = std::find(words.begin(), words.end(), entry->value);
  if (found != words.end()) {
    return static_cast<std::size_t>(found - words.begin());
  }
  std::string choices;
  for (const auto& word : words) {
    choices += (choices.empty() ? "" : ", ") + word;
  }
  this->Fail(
      key, Quoted(entry->value) + " is not allowed; write one of: " + choices);
  return std::nullopt;
}

std::vector<const IniEntry*> IniSectionReader::StartingWith(
    std::string_view prefix) {
  this->known_prefixes.emplace_back(prefix);
  std::vector<const IniEntry*> found;
  for (const auto& entry : this->section.entries) {
    if (entry.key.size() > prefix.size() && entry.key.starts_with(prefix)) {
      found.push_back(&entry);
    }
  }
  return found;
}

void IniSectionReader::Require(std::string_view key, std::string_view example) {
  if (this->section.Find(key) == nullptr) {
    this->Fail(key, "missing; add '" + std::string(key) + " = " +
                        std::string(example) + "', for instance");
  }
}

void IniSectionReader::Fail(std::string_view key, std::string message) {
  const auto* entry = this->section.Find(key);
  this->faults.push_back(
      {.section = this->section.name,
       .key = std::string(key),
       .line = entry == nullptr ? this->section.line : entry->line,
       .message = std::move(message)});
}

void IniSectionReader::Finish() {
  for (const auto& entry : this->section.entries) {
    const bool is_known =
        std::find(this->known.begin(), this->known.end(), entry.key) !=
            this->known.end() ||
        std::any_of(this->known_prefixes.begin(), this->known_prefixes.end(),
                    [&](const std::string& prefix) {
                      return entry.key.size() > prefix.size() &&
                             entry.key.starts_with(prefix);
                    });
    if (is_known) {
      continue;
    }
    auto remedy = DidYouMean(entry.key, this->known);
    if (remedy.empty()) {
      remedy = "; remove it";
    }
    this->Fail(entry.key, "unknown key " + Quoted(entry.key) + " in [" +
                              this->section.name + "]" + remedy);
  }
}

}  // namespace agaterun
