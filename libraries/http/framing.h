#ifndef LIBRARIES_HTTP_FRAMING_H_
#define LIBRARIES_HTTP_FRAMING_H_

#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"

// Headers that concern one connection and not the message (RFC 9110, 7.6.1).
namespace agaterun::http {

enum class BodyFraming { kNone, kLength, kChunked };

// How the body's end is told. Fails with ErrorKind::kMalformedMessage where
// two readers could find different ends (RFC 9112, section 6.3).
Result<BodyFraming> ReadFraming(const HttpHeaders& headers);

// Removes hop-by-hop headers, those that Connection names, and the framing.
void RemoveConnectionHeaders(HttpHeaders& headers);

// True for a header that writers leave out, because they write it themselves
// or because it belongs to one connection only.
bool IsConnectionHeader(std::string_view name);

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_FRAMING_H_
