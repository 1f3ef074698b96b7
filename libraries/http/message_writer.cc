#include "libraries/http/message_writer.h"

// The header after it uses streams without including them.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include "libraries/base/http_status.h"
#include "libraries/http/framing.h"

namespace agaterun::http {

namespace {

constexpr std::size_t kHeadEstimate = 512;

// Parsers refuse such bytes already. This guards against a header that other
// code made from text it did not check: it must not become two headers.
bool IsSafe(const HttpHeader& header) {
  constexpr std::string_view kLineBreaks("\r\n\0", 3);
  return !header.name.empty() &&
         header.name.find_first_of(kLineBreaks) == std::string::npos &&
         header.value.find_first_of(kLineBreaks) == std::string::npos;
}

void Append(std::string& bytes, std::string_view name, std::string_view value) {
  bytes += name;
  bytes += ": ";
  bytes += value;
  bytes += "\r\n";
}

void AppendHeaders(std::string& bytes, const HttpHeaders& headers) {
  for (const auto& header : headers) {
    if (IsSafe(header) && !IsConnectionHeader(header.name) &&
        !EqualsIgnoringCase(header.name, "Host")) {
      Append(bytes, header.name, header.value);
    }
  }
}

}  // namespace

std::string WriteRequest(const HttpRequest& request, std::string_view host) {
  std::string bytes;
  bytes.reserve(kHeadEstimate + request.body.size());
  bytes += request.method + " " + request.target + " HTTP/1.1\r\n";
  if (const std::string* own = FindHeader(request.headers, "Host");
      host.empty() && own) {
    host = *own;
  }
  Append(bytes, "Host", host);
  AppendHeaders(bytes, request.headers);
  if (!request.body.empty() ||
      (request.method != "GET" && request.method != "HEAD")) {
    Append(bytes, "Content-Length", std::to_string(request.body.size()));
  }
  bytes += "\r\n";
  bytes += request.body;
  return bytes;
}

bool HasBody(const HttpResponse& response, bool for_head) {
  return !for_head && response.status != http_status::kNoContent &&
         response.status != http_status::kNotModified;
}

std::string WriteResponseHead(const HttpResponse& response,
                              bool keep_alive,
                              bool for_head) {
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(response.status));
  std::string bytes;
  bytes.reserve(kHeadEstimate);
  bytes += "HTTP/1.1 " + std::to_string(response.status) + " ";
  bytes.append(reason.data(), reason.size());
  bytes += "\r\n";
  AppendHeaders(bytes, response.headers);
  // A length in the answer to HEAD would have to be the one that GET has,
  // which is not known here; none is allowed too (RFC 9110, section 8.6).
  if (HasBody(response, for_head)) {
    Append(bytes, "Content-Length", std::to_string(response.body.size()));
  }
  if (!keep_alive) {
    Append(bytes, "Connection", "close");
  }
  bytes += "\r\n";
  return bytes;
}

std::string WriteResponse(const HttpResponse& response,
                          bool keep_alive,
                          bool for_head) {
  auto bytes = WriteResponseHead(response, keep_alive, for_head);
  if (HasBody(response, for_head)) {
    bytes += response.body;
  }
  return bytes;
}

}  // namespace agaterun::http
