#include "libraries/calls/error_response.h"

#include <cstdio>
#include <string>

namespace agaterun::calls {

HttpResponse MakeErrorResponse(int status,
                               decision::Reason reason,
                               Duration retry_after) {
  HttpResponse response{.status = status};
  response.headers.push_back({"Content-Type", "text/plain"});
  if (retry_after > Duration{}) {
    char seconds[32];
    std::snprintf(seconds, sizeof(seconds), "%.3f", ToSeconds(retry_after));
    response.headers.push_back({"Retry-After", seconds});
  }
  response.body = std::string(NameOf(decision::kReasonNames, reason)) + "\n";
  return response;
}

}  // namespace agaterun::calls
