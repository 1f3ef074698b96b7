#include "libraries/caller/route_path.h"

#include <algorithm>

#include "libraries/caller/header_reader.h"

namespace agaterun::caller {

namespace {

Result<std::string> PercentDecode(std::string_view path) {
  std::string decoded;
  for (std::size_t at = 0; at < path.size(); ++at) {
    char character = path[at];
    if (character == '%') {
      const auto code = ReadNumber(path.substr(at + 1, 2), 16);
      if (!code || at + 2 >= path.size()) {
        return MakeError(ErrorKind::kMalformedMessage,
                         "the path has a broken escape; write '%' as '%25'");
      }
      character = static_cast<char>(*code);
      at += 2;
    }
    if (static_cast<unsigned char>(character) < ' ' || character == 0x7f) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "the path has a control character; remove it");
    }
    decoded += character;
  }
  return decoded;
}

}  // namespace

Result<ServiceTarget> SplitTarget(std::string_view target) {
  const std::size_t end =
      std::min(target.find_first_of("/?", 1), target.size());
  if (!target.starts_with('/') || end <= 1) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "the target names no service; send '/SERVICE/PATH'");
  }
  return ServiceTarget{target.substr(1, end - 1), target.substr(end)};
}

Result<std::string> ReadRoutePath(std::string_view rest) {
  // Servers decode, merge and resolve a path before they dispatch the request.
  // A lookup by the raw path could match a different route than the one that
  // the server executes, and classify a non-idempotent request as idempotent.
  auto decoded =
      PercentDecode(rest.substr(0, std::min(rest.find('?'), rest.size())));
  if (!decoded) {
    return decoded;
  }
  std::string path;
  std::string_view remaining = *decoded;
  while (!remaining.empty()) {
    const std::size_t end =
        std::min(remaining.find_first_of("/\\"), remaining.size());
    const std::string_view segment = remaining.substr(0, end);
    if (segment == "." || segment == "..") {
      return MakeError(ErrorKind::kMalformedMessage,
                       "the path has a '.' or '..' segment; resolve it first");
    }
    path += segment;
    if (end < remaining.size() && !path.ends_with('/')) {
      path += '/';
    }
    remaining.remove_prefix(std::min(end + 1, remaining.size()));
  }
  return path.starts_with('/') ? path : "/" + path;
}

}  // namespace agaterun::caller
