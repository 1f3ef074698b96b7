#include "libraries/calls/dialect.h"

#include "libraries/base/http_status.h"

namespace agaterun::calls {

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

}  // namespace agaterun::calls
