#include "libraries/http/request_parser.h"

#include <algorithm>
#include <string>
#include <utility>

#include "libraries/base/verify.h"
#include "libraries/http/message_reader.h"

namespace agaterun::http {

namespace {

constexpr std::string_view kAbsolutePrefix = "http://";

// The origin form of a target; servers must take the absolute form as well
// (RFC 9112, section 3.2.2).
Result<std::string> ReadTarget(std::string_view target) {
  if (EqualsIgnoringCase(target.substr(0, kAbsolutePrefix.size()),
                         kAbsolutePrefix)) {
    target.remove_prefix(kAbsolutePrefix.size());
    target.remove_prefix(std::min(target.find('/'), target.size()));
  }
  if (!target.starts_with('/') || target.find('#') != target.npos) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "the target is no path; send '/SERVICE/PATH'");
  }
  return std::string(target);
}

}  // namespace

struct RequestParser::State {
  explicit State(MessageLimits limits) : reader(limits) {}

  Result<void> ReadHead();

  MessageReader<true> reader;
  HttpRequest request;
  bool keep_alive = false;
  bool expects_continue = false;
};

Result<void> RequestParser::State::ReadHead() {
  const auto& message = this->reader.Message().get();
  auto target = ReadTarget(
      std::string_view(message.target().data(), message.target().size()));
  if (!target) {
    return tl::unexpected(target.error());
  }
  auto& headers = this->reader.Headers();
  const auto framing = ReadFraming(headers);
  if (!framing) {
    return tl::unexpected(framing.error());
  }
  const bool is_1_1 = message.version() >= 11;
  if (*framing == BodyFraming::kChunked && !is_1_1) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "chunked needs HTTP/1.1; send a Content-Length");
  }
  if (const auto hosts = message.count(boost::beast::http::field::host);
      hosts > 1 || (is_1_1 && hosts == 0)) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "HTTP/1.1 needs one Host header; send exactly one");
  }
  if (const std::string* expect = FindHeader(headers, "Expect"); expect) {
    this->expects_continue = EqualsIgnoringCase(*expect, "100-continue");
  }
  this->request.method = message.method_string().to_string();
  this->request.target = *std::move(target);
  // HTTP/1.0 would need its own form of keep-alive; its connections end.
  this->keep_alive = is_1_1 && message.keep_alive();
  RemoveConnectionHeaders(headers);
  this->request.headers = std::move(headers);
  return {};
}

RequestParser::RequestParser(MessageLimits limits) : limits(limits) {}
RequestParser::~RequestParser() = default;
RequestParser::RequestParser(RequestParser&& other) noexcept = default;
RequestParser& RequestParser::operator=(RequestParser&& other) noexcept =
    default;

Result<std::size_t> RequestParser::Feed(std::string_view bytes) {
  if (bytes.empty()) {
    return 0;
  }
  if (!this->state) {
    this->state = std::make_unique<State>(this->limits);
  }
  return this->state->reader.Feed(bytes,
                                  [this] { return this->state->ReadHead(); });
}

bool RequestParser::IsDone() const {
  return this->state && this->state->reader.IsDone();
}

bool RequestParser::HasStarted() const {
  return this->state && this->state->reader.HasStarted();
}

bool RequestParser::HeadIsDone() const {
  return this->state && this->state->reader.HeadIsDone();
}

bool RequestParser::ExpectsContinue() const {
  return this->state && this->state->expects_continue;
}

HttpRequest RequestParser::Take(bool& keep_alive) {
  VERIFY(this->IsDone());
  HttpRequest request = std::move(this->state->request);
  request.body = std::move(this->state->reader.Message().get().body());
  keep_alive = this->state->keep_alive;
  this->state.reset();
  return request;
}

}  // namespace agaterun::http
