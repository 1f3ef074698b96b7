#ifndef LIBRARIES_HTTP_MESSAGE_WRITER_H_
#define LIBRARIES_HTTP_MESSAGE_WRITER_H_

#include <string>
#include <string_view>

#include "libraries/base/http_message.h"

namespace agaterun::http {

// Bytes of a request with Content-Length and without hop-by-hop headers.
// `host` takes the place of the Host header, unless it is empty.
std::string WriteRequest(const HttpRequest& request, std::string_view host);

// Bytes of a response with Content-Length. Adds `Connection: close` unless
// `keep_alive`. `for_head` leaves out the body, for the answer to HEAD.
std::string WriteResponse(const HttpResponse& response,
                          bool keep_alive,
                          bool for_head = false);

// The same without the body, for a writer that sends the body itself. It
// follows only if HasBody().
std::string WriteResponseHead(const HttpResponse& response,
                              bool keep_alive,
                              bool for_head = false);

// False for responses that have no body on the wire.
bool HasBody(const HttpResponse& response, bool for_head);

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_MESSAGE_WRITER_H_
