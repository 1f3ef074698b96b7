#include "libraries/base/http_message.h"

#include <algorithm>

namespace agaterun {

namespace {

char ToLower(char letter) {
  if (letter >= 'A' && letter <= 'Z') {
    return static_cast<char>(letter - 'A' + 'a');
  }
  return letter;
}

}  // namespace

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* FindHeader(const HttpHeaders& headers,
                              std::string_view name) {
  for (const auto& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return &header.value;
    }
  }
  return nullptr;
}

void RemoveHeader(HttpHeaders& headers, std::string_view name) {
  std::erase_if(headers, [&](const HttpHeader& header) {
    return EqualsIgnoringCase(header.name, name);
  });
}

}  // namespace agaterun
