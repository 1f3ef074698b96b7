#ifndef LIBRARIES_HTTP_MESSAGE_READER_H_
#define LIBRARIES_HTTP_MESSAGE_READER_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/http/framing.h"
#include "libraries/http/head_collector.h"
#include "libraries/http/message_limits.h"

namespace agaterun::http {

// Reads one message with a parser of Boost.Beast, whose input and output are
// not used. What request and response parsers have in common.
template <bool kIsRequest>
class MessageReader {
 public:
  // Shortest end of a chunked body: "0", and two line ends. The parser asserts
  // that it is asked again with that much once it saw a part.
  static constexpr std::size_t kLastChunkBytes = 5;

  // Bodies without a length double their memory up to this size.
  static constexpr std::size_t kMaxDoubledBytes = 256 * 1024;
  static constexpr std::size_t kLongBodyGrowthBytes = 64 * 1024 * 1024;

  using Parser =
      boost::beast::http::parser<kIsRequest, boost::beast::http::string_body>;

  // `skip_body` for the answer to HEAD, whose headers tell of a body that does
  // not follow.
  explicit MessageReader(MessageLimits limits, bool skip_body = false)
      : limits(limits), skip_body(skip_body), head(limits.header_bytes) {}

  // Takes bytes of the message and returns how many were used. Calls `on_head`
  // once, when the head has been read.
  Result<std::size_t> Feed(std::string_view bytes,
                           const std::function<Result<void>()>& on_head) {
    std::size_t used = 0;
    if (!this->HeadIsDone()) {
      const auto head_used = this->FeedHead(bytes);
      if (!head_used || !this->HeadIsDone()) {
        return head_used;
      }
      if (auto accepted = on_head(); !accepted) {
        return tl::unexpected(accepted.error());
      }
      used = *head_used;
    }
    const auto body_used = this->FeedBody(bytes.substr(used));
    if (!body_used) {
      return body_used;
    }
    return used + *body_used;
  }

  // The connection ended: the end of a body that nothing else ends.
  void FeedEnd() {
    if (this->parser && this->parser->need_eof()) {
      boost::system::error_code ignored;
      this->parser->put_eof(ignored);
    }
  }

  bool HasStarted() const { return this->head.HasStarted(); }
  bool HeadIsDone() const { return this->parser.has_value(); }
  bool IsDone() const { return this->parser && this->parser->is_done(); }

  // Head fields as they came, in order; fields of trailers are left out.
  HttpHeaders& Headers() { return this->headers; }
  // Bytes of the body so far.
  std::size_t BodyBytes() const {
    return this->parser ? this->parser->get().body().size() : 0;
  }
  // Length of the body that the head states.
  std::optional<std::size_t> StatedLength() const {
    if (!this->parser || !this->parser->content_length()) {
      return std::nullopt;
    }
    return static_cast<std::size_t>(*this->parser->content_length());
  }
  Parser& Message() { return *this->parser; }

 private:
  // Takes bytes up to the end of the head and returns how many were used.
  Result<std::size_t> FeedHead(std::string_view bytes) {
    const auto used = this->head.Feed(bytes);
    if (!used || !this->head.IsDone()) {
      return used;
    }
    this->parser.emplace();
    this->parser->eager(true);
    this->parser->skip(this->skip_body);
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->limits.header_bytes));
    this->parser->body_limit(this->limits.body_bytes);
    if (auto parsed = this->Put(this->head.Text()); !parsed) {
      return tl::unexpected(parsed.error());
    }
    if (!this->parser->is_header_done()) {
      return MakeError(ErrorKind::kMalformedMessage,
                       "the head is incomplete; follow RFC 9112");
    }
    for (const auto& field : this->parser->get()) {
      this->headers.push_back(
          {field.name_string().to_string(), field.value().to_string()});
    }
    return used;
  }

  // Growing a string copies it and for a while takes the memory of both copies.
  // So a long body without a length gets all that it may take at once: memory
  // is only used where bytes are written.
  void MakeRoom(std::size_t bytes) {
    auto& body = this->parser->get().body();
    const auto needed = body.size() + bytes;
    if (!this->StatedLength() && needed > kMaxDoubledBytes &&
        needed > body.capacity()) {
      body.reserve(
          std::min(this->limits.body_bytes, needed + kLongBodyGrowthBytes));
    }
  }

  // Takes bytes of the body and returns how many were used.
  Result<std::size_t> FeedBody(std::string_view bytes) {
    if (this->parser->is_done()) {
      return 0;
    }
    this->MakeRoom(this->pending.size() + bytes.size());
    // The head of a chunk may come in pieces, and the parser wants it whole.
    if (this->pending.empty()) {
      const auto used = this->Put(bytes);
      if (!used || this->parser->is_done()) {
        return used;
      }
      this->pending.assign(bytes.substr(*used));
      return this->CheckPending(bytes.size());
    }
    this->pending.append(bytes);
    if (this->parser->chunked() && this->pending.size() < kLastChunkBytes) {
      return bytes.size();
    }
    const auto used = this->Put(this->pending);
    if (!used) {
      return used;
    }
    this->pending.erase(0, *used);
    if (this->parser->is_done()) {
      // What is left came with `bytes`: without some of them it was not done.
      return bytes.size() - this->pending.size();
    }
    return this->CheckPending(bytes.size());
  }

  Result<std::size_t> Put(std::string_view bytes) {
    boost::system::error_code error;
    const std::size_t used = this->parser->put(
        boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (!error || error == boost::beast::http::error::need_more) {
      return used;
    }
    if (error == boost::beast::http::error::body_limit) {
      return MakeError(ErrorKind::kLimitReached,
                       "the body is longer than " +
                           std::to_string(this->limits.body_bytes) +
                           " bytes; send a smaller one");
    }
    if (error == boost::beast::http::error::header_limit) {
      return MakeError(ErrorKind::kLimitReached,
                       "headers are longer than " +
                           std::to_string(this->limits.header_bytes) +
                           " bytes; send shorter or fewer ones");
    }
    return MakeError(ErrorKind::kMalformedMessage,
                     "not HTTP/1.1 (" + error.message() +
                         "); send a message as RFC 9112 describes it");
  }

  Result<std::size_t> CheckPending(std::size_t used) const {
    if (this->pending.size() > this->limits.header_bytes) {
      return MakeError(ErrorKind::kLimitReached,
                       "the head of a chunk is too long; leave out chunk "
                       "extensions and trailers");
    }
    return used;
  }

  MessageLimits limits;
  bool skip_body;
  HeadCollector head;
  std::optional<Parser> parser;
  HttpHeaders headers;
  std::string pending;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_MESSAGE_READER_H_
