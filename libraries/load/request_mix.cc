#include "libraries/load/request_mix.h"

#include <ini.h>

#include <charconv>
#include <string_view>

namespace agaterun::load {

namespace {

constexpr std::string_view kSectionPrefix = "request ";

struct Reading {
  std::vector<RequestKind> kinds;
  std::string fault;
};

bool ReadNumber(std::string_view text, double& number) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size() && number > 0;
}

// Returns what is wrong with the value, or nothing.
std::string SetKey(RequestKind& kind,
                   std::string_view key,
                   std::string_view value) {
  if (key == "method") {
    kind.method = value;
  } else if (key == "target") {
    kind.target = value;
  } else if (key == "body") {
    kind.body = value;
  } else if (key == "importance") {
    kind.importance = value;
  } else if (key == "idempotent") {
    kind.idempotent = value == "yes";
    if (value != "yes" && value != "no") {
      return "idempotent takes yes or no";
    }
  } else if (key == "weight") {
    if (!ReadNumber(value, kind.weight)) {
      return "weight takes a number above 0";
    }
  } else if (key == "timeout_ms") {
    double milliseconds = 0;
    if (!ReadNumber(value, milliseconds)) {
      return "timeout_ms takes a number above 0";
    }
    kind.timeout = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(milliseconds));
  } else {
    return "unknown key '" + std::string(key) +
           "'; keys are method, target, body, importance, idempotent, weight "
           "and timeout_ms";
  }
  return "";
}

int OnEntry(void* user,
            const char* section_text,
            const char* key,
            const char* value) {
  auto& reading = *static_cast<Reading*>(user);
  const std::string_view section(section_text);
  if (!section.starts_with(kSectionPrefix)) {
    reading.fault = "section [" + std::string(section) +
                    "] is not known; write [request NAME]";
    return 0;
  }
  const std::string name(section.substr(kSectionPrefix.size()));
  if (reading.kinds.empty() || reading.kinds.back().name != name) {
    reading.kinds.push_back(RequestKind{.name = name});
  }
  if (auto fault = SetKey(reading.kinds.back(), key, value); !fault.empty()) {
    reading.fault = "[" + std::string(section) + "]: " + fault;
    return 0;
  }
  return 1;
}

}  // namespace

Result<RequestMix> RequestMix::Parse(const std::string& text) {
  Reading reading;
  const int line = ini_parse_string(text.c_str(), &OnEntry, &reading);
  if (line != 0) {
    return MakeError(
        ErrorKind::kInvalidArgument,
        "line " + std::to_string(line) + ": " +
            (reading.fault.empty() ? "write KEY = VALUE" : reading.fault));
  }
  RequestMix mix;
  for (const auto& kind : reading.kinds) {
    if (!kind.target.starts_with('/')) {
      return MakeError(
          ErrorKind::kInvalidArgument,
          "[request " + kind.name + "]: set target to /SERVICE/PATH");
    }
    mix.total_weight += kind.weight;
  }
  if (reading.kinds.empty()) {
    return MakeError(ErrorKind::kInvalidArgument,
                     "the mix is empty; add a [request NAME] section");
  }
  mix.kinds = std::move(reading.kinds);
  return mix;
}

std::size_t RequestMix::Draw(RandomSource& random) const {
  double left = random.Unit() * this->total_weight;
  for (std::size_t index = 0; index + 1 < this->kinds.size(); ++index) {
    left -= this->kinds[index].weight;
    if (left < 0) {
      return index;
    }
  }
  return this->kinds.size() - 1;
}

}  // namespace agaterun::load
