#include "libraries/calls/dialect.h"

#include "libraries/base/http_status.h"

namespace agaterun::calls {

AnswerClass ClassOf(const HttpResponse& answer, const Dialect& dialect) {
  if (answer.status == http_status::kMisdirected) {
    return AnswerClass::kOtherInstance;
  }
  if (FindHeader(answer.headers, dialect.not_run) != nullptr) {
    return AnswerClass::kNotRun;
  }
  // Callers ask for no coding, so a coded body is not the backend server's.
  if (FindHeader(answer.headers, "Content-Encoding") != nullptr) {
    return AnswerClass::kInvalid;
  }
  const bool has_stamp =
      FindHeader(answer.headers, dialect.response_stamp) != nullptr;
  return has_stamp ? AnswerClass::kWhole : AnswerClass::kInvalid;
}

}  // namespace agaterun::calls
