#ifndef LIBRARIES_CALLS_DIALECT_H_
#define LIBRARIES_CALLS_DIALECT_H_

#include <optional>
#include <string>

#include "libraries/base/http_message.h"

namespace agaterun::calls {

// Names of the HTTP headers, and the path of the health probe, that callers
// and backend servers use. The platform adapter fills it in.
struct Dialect {
  std::string request_id;         // Id of one attempt of a caller.
  std::string deadline;           // Milliseconds until the deadline.
  std::string expected_instance;  // Others must not run it.
  std::string caller_service;     // Service of the origin's host.
  std::string response_stamp;     // On each response of a backend server.
  std::string not_run;            // The backend server did not run it.
  std::string instance;           // Id of the responding backend server.
  std::string account_key;        // Key of the caller's client account.
  std::string account;            // Name of the client account.
  std::string rate_limit;         // Requests per second; see BackendNotice.
  std::string leaving;            // The backend server is shutting down.
  std::string probe_path;
};

// What a response of a backend server means for the request.
enum class ResponseClass {
  kValid,          // Complete, to be passed on unchanged.
  kNotRun,         // The backend server did not run the request.
  kOtherInstance,  // From another backend server at the address; not run.
  kInvalid,        // Altered on the way, or not from a backend server.
};

ResponseClass ClassifyResponse(const HttpResponse& answer,
                               const Dialect& dialect);

// What a backend server states about itself in a response.
struct BackendNotice {
  // Requests per second that it accepts from all hosts together; nullopt if it
  // states no limit.
  std::optional<double> rate_limit;
  // The header of the rate limit is not a non-negative decimal number.
  bool has_invalid_rate_limit = false;
  // It is shutting down, and is to receive no more requests.
  bool is_leaving = false;

  bool operator==(const BackendNotice&) const = default;
};

BackendNotice ReadBackendNotice(const HttpResponse& answer,
                                const Dialect& dialect);

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_DIALECT_H_
