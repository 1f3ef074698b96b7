#ifndef LIBRARIES_HTTP_HEAD_COLLECTOR_H_
#define LIBRARIES_HTTP_HEAD_COLLECTOR_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace agaterun::http {

// Gathers the head of one message: start line, headers and the empty line.
// Refuses what other parsers read in different ways (RFC 9112, sections 2.2
// and 5.2): bare CR, bare LF, NUL, folded lines.
class HeadCollector {
 public:
  explicit HeadCollector(std::size_t limit) : limit(limit) {}

  // Takes bytes up to the end of the head and returns how many were used.
  // Fails with ErrorKind::kMalformedMessage or kLimitReached.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const { return this->done; }
  bool HasStarted() const { return !this->text.empty() || this->skipped > 0; }
  const std::string& Text() const { return this->text; }

 private:
  // Takes one byte.
  Result<void> Append(char letter);

  // Checks the byte against the one before it.
  Result<void> Check(char letter) const;

  std::size_t limit;
  std::string text;
  std::size_t skipped = 0;  // Bytes of an empty line before the start line.
  bool done = false;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_HEAD_COLLECTOR_H_
