#ifndef LIBRARIES_CALLS_DIALECT_H_
#define LIBRARIES_CALLS_DIALECT_H_

#include <string>

#include "libraries/base/http_message.h"

namespace agaterun::calls {

// How callers and backend servers name what this product needs of a message.
// The adapter of the platform fills it in.
struct Dialect {
  std::string request_id;         // One attempt of a caller.
  std::string deadline;           // Milliseconds that are left.
  std::string expected_instance;  // Any other backend server must not run it.
  std::string caller_service;     // Service of the host where it originated.
  std::string response_stamp;     // On whatever a backend server answers.
  std::string not_run;            // The backend server did not run it.
  std::string instance;           // Which backend server answers.
  std::string probe_path;
};

// What an answer of a backend server says.
enum class AnswerClass {
  kWhole,          // To be passed on as it is.
  kNotRun,         // The backend server did not run the request.
  kOtherInstance,  // Another backend server has the address; not run.
  kInvalid,        // Not what the backend server meant to say.
};

AnswerClass ClassOf(const HttpResponse& answer, const Dialect& dialect);

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_DIALECT_H_
