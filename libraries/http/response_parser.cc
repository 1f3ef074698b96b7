#include "libraries/http/response_parser.h"

#include <string>
#include <utility>

#include "libraries/base/verify.h"
#include "libraries/http/message_reader.h"

namespace agaterun::http {

namespace {

constexpr int kSwitchingProtocols = 101;
constexpr int kNoContent = 204;
constexpr int kNotModified = 304;

bool IsInterim(int status) {
  return status >= 100 && status < 200;
}

}  // namespace

struct ResponseParser::State {
  State(MessageLimits limits, bool skip_body)
      : reader(limits, skip_body), skip_body(skip_body) {}

  Result<void> ReadHead();

  MessageReader<false> reader;
  HttpResponse response;
  bool skip_body;
  bool keep_alive = false;
  bool interim = false;
};

Result<void> ResponseParser::State::ReadHead() {
  const auto& message = this->reader.Message().get();
  const int status = static_cast<int>(message.result_int());
  if (status < 100 || status == kSwitchingProtocols) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "status " + std::to_string(status) +
                         " can't be passed on; answer with a final status");
  }
  auto& headers = this->reader.Headers();
  const auto framing = ReadFraming(headers);
  if (!framing) {
    return tl::unexpected(framing.error());
  }
  this->interim = IsInterim(status);
  const bool no_body = this->skip_body || this->interim ||
                       status == kNoContent || status == kNotModified;
  if (*framing == BodyFraming::kNone && !no_body) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "the response has neither Content-Length nor chunks, so "
                     "its end can't be told from a cut; send one of them");
  }
  this->response.status = status;
  this->keep_alive = message.version() >= 11 && message.keep_alive();
  RemoveConnectionHeaders(headers);
  this->response.headers = std::move(headers);
  return {};
}

ResponseParser::ResponseParser(MessageLimits limits) : limits(limits) {}
ResponseParser::~ResponseParser() = default;
ResponseParser::ResponseParser(ResponseParser&& other) noexcept = default;
ResponseParser& ResponseParser::operator=(ResponseParser&& other) noexcept =
    default;

Result<std::size_t> ResponseParser::Feed(std::string_view bytes) {
  std::size_t used = 0;
  while (used < bytes.size() && !this->IsDone()) {
    const auto taken = this->FeedOne(bytes.substr(used));
    if (!taken) {
      return taken;
    }
    used += *taken;
    if (this->IsDone() && this->state->interim) {
      this->state.reset();
    }
  }
  return used;
}

Result<std::size_t> ResponseParser::FeedOne(std::string_view bytes) {
  if (!this->state) {
    this->state = std::make_unique<State>(this->limits, this->no_body);
  }
  return this->state->reader.Feed(bytes,
                                  [this] { return this->state->ReadHead(); });
}

bool ResponseParser::IsDone() const {
  return this->state && this->state->reader.IsDone();
}

bool ResponseParser::HasStarted() const {
  return this->state && this->state->reader.HasStarted();
}

HttpResponse ResponseParser::Take(bool& keep_alive) {
  VERIFY(this->IsDone());
  HttpResponse response = std::move(this->state->response);
  response.body = std::move(this->state->reader.Message().get().body());
  keep_alive = this->state->keep_alive;
  this->state.reset();
  this->no_body = false;
  return response;
}

}  // namespace agaterun::http
