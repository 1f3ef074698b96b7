#include "libraries/http/head_collector.h"

namespace agaterun::http {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadEnd = "\r\n\r\n";

}  // namespace

Result<std::size_t> HeadCollector::Feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !this->done) {
    if (auto appended = this->Append(bytes[used]); !appended) {
      return tl::unexpected(appended.error());
    }
    ++used;
  }
  return used;
}

Result<void> HeadCollector::Append(char letter) {
  if (auto checked = this->Check(letter); !checked) {
    return checked;
  }
  if (this->text.size() >= this->limit) {
    return MakeError(ErrorKind::kLimitReached,
                     "start line and headers are longer than " +
                         std::to_string(this->limit) +
                         " bytes; send shorter or fewer headers");
  }
  this->text += letter;
  if (this->text == kLineEnd && this->skipped == 0) {
    // One empty line before a request is allowed (RFC 9112, section 2.2).
    this->skipped = this->text.size();
    this->text.clear();
    return {};
  }
  if (this->text == kLineEnd) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "empty line in place of a start line; begin with one");
  }
  this->done = this->text.ends_with(kHeadEnd);
  return {};
}

Result<void> HeadCollector::Check(char letter) const {
  const char previous = this->text.empty() ? '\0' : this->text.back();
  if ((previous == '\r') != (letter == '\n')) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "a CR or LF stands alone; end each line with CRLF");
  }
  if (letter == '\0') {
    return MakeError(ErrorKind::kMalformedMessage,
                     "a NUL byte stands in the headers; remove it");
  }
  if (previous == '\n' && (letter == ' ' || letter == '\t')) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "a header is folded over lines; put it on one line");
  }
  return {};
}

}  // namespace agaterun::http
