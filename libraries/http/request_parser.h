#ifndef LIBRARIES_HTTP_REQUEST_PARSER_H_
#define LIBRARIES_HTTP_REQUEST_PARSER_H_

#include <cstddef>
#include <memory>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"
#include "libraries/http/message_limits.h"

namespace agaterun::http {

// Reads HTTP/1.1 requests from bytes, one after the other (RFC 9112). Parsing
// is Boost.Beast's; this adds the limits and refuses ambiguous framing. Holds
// no memory between requests.
class RequestParser {
 public:
  explicit RequestParser(MessageLimits limits);
  ~RequestParser();
  RequestParser(RequestParser&& other) noexcept;
  RequestParser& operator=(RequestParser&& other) noexcept;

  // Sets the limits of the requests that start from now on.
  void SetLimits(MessageLimits new_limits) { this->limits = new_limits; }

  // Takes bytes and returns how many were used; the rest belongs to the next
  // request. Fails with ErrorKind::kMalformedMessage or kLimitReached, and
  // the connection can't be read further then.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const;

  // True once the first byte of a request was taken.
  bool HasStarted() const;

  // True once start line and headers were taken; a limit that was reached
  // afterwards is the body's.
  bool HeadIsDone() const;

  // True when the head is done and asks for `100 Continue` before the body.
  bool ExpectsContinue() const;

  // The whole request, and starts on the next one. Only when IsDone().
  // `keep_alive` tells whether the connection stays open after the answer.
  HttpRequest Take(bool& keep_alive);

 private:
  struct State;
  std::unique_ptr<State> state;  // Of the request that has started.
  MessageLimits limits;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_REQUEST_PARSER_H_
