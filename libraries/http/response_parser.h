#ifndef LIBRARIES_HTTP_RESPONSE_PARSER_H_
#define LIBRARIES_HTTP_RESPONSE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/http/message_limits.h"

namespace agaterun::http {

// Reads HTTP/1.1 responses. A response whose end only the close of the
// connection marks can't be told from a cut one and is refused. Interim
// responses (1xx) are skipped.
class ResponseParser {
 public:
  explicit ResponseParser(MessageLimits limits);
  ~ResponseParser();
  ResponseParser(ResponseParser&& other) noexcept;
  ResponseParser& operator=(ResponseParser&& other) noexcept;

  // Tells that the next response answers a HEAD request and has no body.
  void ExpectNoBody() { this->no_body = true; }

  // As RequestParser::Feed.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const;
  bool HasStarted() const;

  // The whole response, and starts on the next one. Only when IsDone().
  HttpResponse Take(bool& keep_alive);

 private:
  struct State;

  // Takes bytes of one response, which may be an interim one.
  Result<std::size_t> FeedOne(std::string_view bytes);

  std::unique_ptr<State> state;  // Of the response that has started.
  MessageLimits limits;
  bool no_body = false;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_RESPONSE_PARSER_H_
