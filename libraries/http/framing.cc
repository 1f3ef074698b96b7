#include "libraries/http/framing.h"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace agaterun::http {

namespace {

// Expect is here because this side has answered it by reading the body.
constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection", "Keep-Alive", "Proxy-Connection",
    "TE",         "Trailer",    "Transfer-Encoding",
    "Upgrade",    "Expect",     "Content-Length",
};

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
    text.remove_prefix(1);
  }
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
    text.remove_suffix(1);
  }
  return text;
}

std::vector<std::string> NamedInConnection(const HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const auto& [name, value] : headers) {
    if (!EqualsIgnoringCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      names.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return names;
}

bool IsDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return c >= '0' && c <= '9';
  });
}

std::ptrdiff_t Count(const HttpHeaders& headers, std::string_view name) {
  return std::count_if(headers.begin(), headers.end(), [&](const auto& header) {
    return EqualsIgnoringCase(header.name, name);
  });
}

}  // namespace

Result<BodyFraming> ReadFraming(const HttpHeaders& headers) {
  const auto lengths = Count(headers, "Content-Length");
  const auto encodings = Count(headers, "Transfer-Encoding");
  if (lengths + encodings > 1) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "the body's length is told twice; send either one "
                     "Content-Length or one Transfer-Encoding");
  }
  if (lengths == 1) {
    if (!IsDigits(*FindHeader(headers, "Content-Length"))) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "Content-Length is no number; send decimal digits");
    }
    return BodyFraming::kLength;
  }
  if (encodings == 1) {
    // A coding before or after chunked would have to be undone to find the
    // end; readers that skip it disagree about where the body ends.
    if (!EqualsIgnoringCase(*FindHeader(headers, "Transfer-Encoding"),
                            "chunked")) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "Transfer-Encoding is not 'chunked' alone; send "
                       "'chunked' or a Content-Length");
    }
    return BodyFraming::kChunked;
  }
  return BodyFraming::kNone;
}

void RemoveConnectionHeaders(HttpHeaders& headers) {
  const auto named = NamedInConnection(headers);
  std::erase_if(headers, [&](const HttpHeader& header) {
    return IsConnectionHeader(header.name) ||
           std::any_of(named.begin(), named.end(), [&](const auto& name) {
             return EqualsIgnoringCase(header.name, name);
           });
  });
}

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(
      kConnectionHeaders.begin(), kConnectionHeaders.end(),
      [&](std::string_view other) { return EqualsIgnoringCase(name, other); });
}

}  // namespace agaterun::http
