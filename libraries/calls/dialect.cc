#include "libraries/calls/dialect.h"

#include <charconv>
#include <cmath>

#include "libraries/base/http_status.h"

namespace agaterun::calls {

namespace {

std::optional<double> ParseRate(const std::string& text) {
  double rate = 0;
  const auto* end = text.data() + text.size();
  const auto [last, error] =
      std::from_chars(text.data(), end, rate, std::chars_format::fixed);
  if (error != std::errc() || last != end || !std::isfinite(rate) || rate < 0) {
    return std::nullopt;
  }
  return rate;
}

}  // namespace

ResponseClass ClassifyResponse(const HttpResponse& answer,
                               const Dialect& dialect) {
  if (answer.status == http_status::kMisdirected) {
    return ResponseClass::kOtherInstance;
  }
  if (FindHeader(answer.headers, dialect.not_run) != nullptr) {
    return ResponseClass::kNotRun;
  }
  // Requests never ask for a content coding, so an encoded body doesn't come
  // from the backend server.
  if (FindHeader(answer.headers, "Content-Encoding") != nullptr) {
    return ResponseClass::kInvalid;
  }
  const bool has_stamp =
      FindHeader(answer.headers, dialect.response_stamp) != nullptr;
  return has_stamp ? ResponseClass::kValid : ResponseClass::kInvalid;
}

BackendNotice ReadBackendNotice(const HttpResponse& answer,
                                const Dialect& dialect) {
  BackendNotice notice;
  if (const auto* text = FindHeader(answer.headers, dialect.rate_limit);
      text != nullptr) {
    notice.rate_limit = ParseRate(*text);
    notice.has_invalid_rate_limit = !notice.rate_limit.has_value();
  }
  const auto* leaving = FindHeader(answer.headers, dialect.leaving);
  notice.is_leaving = leaving != nullptr && *leaving == "1";
  return notice;
}

}  // namespace agaterun::calls
