#ifndef LIBRARIES_HTTP_RESPONSE_PARSER_H_
#define LIBRARIES_HTTP_RESPONSE_PARSER_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/base/time.h"
#include "libraries/http/message_limits.h"

namespace agaterun::http {

// Reads HTTP/1.1 responses. A response whose end only the close of the
// connection marks can't be told from a cut one and is refused, unless it is
// asked for. Interim responses (1xx) are skipped.
class ResponseParser {
 public:
  enum class WithoutLength { kRefused, kEndsWithConnection };

  explicit ResponseParser(
      MessageLimits limits,
      WithoutLength without_length = WithoutLength::kRefused);
  ~ResponseParser();
  ResponseParser(ResponseParser&& other) noexcept;
  ResponseParser& operator=(ResponseParser&& other) noexcept;

  // Tells that the next response answers a HEAD request and has no body.
  void ExpectNoBody() { this->no_body = true; }

  // As RequestParser::Feed.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const;
  bool HasStarted() const;

  // Bytes of the body so far.
  std::size_t BodyBytes() const;
  // Length of the body that the response states. Unset before its head has been
  // read.
  std::optional<std::size_t> StatedLength() const;

  // The connection ended in an orderly way, which is the end of a response
  // without a length.
  void FeedEnd();

  // Time that the sender keeps an idle connection, when the response told it.
  std::optional<Duration> IdleTimeout() const { return this->idle_timeout; }

  // The whole response, and starts on the next one. Only when IsDone().
  HttpResponse Take(bool& keep_alive);

 private:
  struct State;

  // Takes bytes of one response, which may be an interim one.
  Result<std::size_t> FeedOne(std::string_view bytes);

  std::unique_ptr<State> state;  // Of the response that has started.
  MessageLimits limits;
  WithoutLength without_length;
  std::optional<Duration> idle_timeout;
  bool no_body = false;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_RESPONSE_PARSER_H_
