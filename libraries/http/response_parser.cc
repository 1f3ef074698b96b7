#include "libraries/http/response_parser.h"

#include <charconv>
#include <string>
#include <utility>

#include "libraries/base/http_status.h"
#include "libraries/base/verify.h"
#include "libraries/http/message_reader.h"

namespace agaterun::http {

namespace {

constexpr int kSwitchingProtocols = 101;

bool IsInterim(int status) {
  return status >= 100 && status < 200;
}

// Reads `Keep-Alive: timeout=SECONDS`.
std::optional<Duration> ReadIdleTimeout(const HttpHeaders& headers) {
  constexpr std::string_view kTimeout = "timeout=";
  const auto* value = FindHeader(headers, "Keep-Alive");
  const auto start =
      value == nullptr ? std::string::npos : value->find(kTimeout);
  if (start == std::string::npos) {
    return std::nullopt;
  }
  std::string_view digits = *value;
  digits.remove_prefix(start + kTimeout.size());
  int seconds = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  if (error != std::errc() || seconds < 0) {
    return std::nullopt;
  }
  return std::chrono::seconds(seconds);
}

}  // namespace

struct ResponseParser::State {
  State(MessageLimits limits, bool skip_body, WithoutLength without_length)
      : reader(limits, skip_body),
        without_length(without_length),
        skip_body(skip_body) {}

  Result<void> ReadHead();

  MessageReader<false> reader;
  HttpResponse response;
  std::optional<Duration> idle_timeout;
  WithoutLength without_length;
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
                       status == http_status::kNoContent ||
                       status == http_status::kNotModified;
  const bool ends_with_connection = *framing == BodyFraming::kNone && !no_body;
  if (ends_with_connection && this->without_length == WithoutLength::kRefused) {
    return MakeError(ErrorKind::kMalformedMessage,
                     "the response has neither Content-Length nor chunks, so "
                     "its end can't be told from a cut; send one of them");
  }
  this->response.status = status;
  this->keep_alive =
      !ends_with_connection && message.version() >= 11 && message.keep_alive();
  this->idle_timeout = ReadIdleTimeout(headers);
  RemoveConnectionHeaders(headers);
  this->response.headers = std::move(headers);
  return {};
}

ResponseParser::ResponseParser(MessageLimits limits,
                               WithoutLength without_length)
    : limits(limits), without_length(without_length) {}
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
    this->state = std::make_unique<State>(this->limits, this->no_body,
                                          this->without_length);
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

std::size_t ResponseParser::BodyBytes() const {
  return this->state ? this->state->reader.BodyBytes() : 0;
}

std::optional<std::size_t> ResponseParser::StatedLength() const {
  return this->state ? this->state->reader.StatedLength() : std::nullopt;
}

void ResponseParser::FeedEnd() {
  if (this->state) {
    this->state->reader.FeedEnd();
  }
}

HttpResponse ResponseParser::Take(bool& keep_alive) {
  VERIFY(this->IsDone());
  if (this->state->idle_timeout) {
    this->idle_timeout = this->state->idle_timeout;
  }
  HttpResponse response = std::move(this->state->response);
  response.body = std::move(this->state->reader.Message().get().body());
  keep_alive = this->state->keep_alive;
  this->state.reset();
  this->no_body = false;
  return response;
}

}  // namespace agaterun::http
