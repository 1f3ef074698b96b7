#ifndef LIBRARIES_HTTP_MESSAGE_PARSER_H_
#define LIBRARIES_HTTP_MESSAGE_PARSER_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"

namespace agaterun::http {

struct MessageLimits {
  std::size_t header_bytes = 16 * 1024;
  std::size_t body_bytes = 1024 * 1024;
};

// Reads HTTP/1.1 requests from bytes, one after the other (RFC 9112). Parsing
// is Boost.Beast's; this adds the limits and refuses ambiguous framing.
class RequestParser {
 public:
  explicit RequestParser(MessageLimits limits);
  ~RequestParser();

  // Takes bytes and returns how many were used; the rest belongs to the next
  // request. Fails with ErrorKind::kMalformedMessage or kLimitReached.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const;

  // True once the first byte of a request was taken.
  bool HasStarted() const;

  // The whole request, and starts on the next one. Only when IsDone().
  // `keep_alive` tells whether the connection stays open after the answer.
  HttpRequest Take(bool& keep_alive);

 private:
  struct State;
  std::unique_ptr<State> state;
  MessageLimits limits;
};

// Reads HTTP/1.1 responses. A response whose end only the close of the
// connection marks can't be told from a cut one and is refused.
class ResponseParser {
 public:
  explicit ResponseParser(MessageLimits limits);
  ~ResponseParser();

  // As RequestParser::Feed.
  Result<std::size_t> Feed(std::string_view bytes);

  bool IsDone() const;
  bool HasStarted() const;
  HttpResponse Take(bool& keep_alive);

 private:
  struct State;
  std::unique_ptr<State> state;
  MessageLimits limits;
};

// Bytes of a request with Content-Length and without hop-by-hop headers.
std::string WriteRequest(const HttpRequest& request, std::string_view host);

// Bytes of a response with Content-Length. Adds `Connection: close` unless
// `keep_alive`.
std::string WriteResponse(const HttpResponse& response, bool keep_alive);

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_MESSAGE_PARSER_H_
