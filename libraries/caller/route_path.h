#ifndef LIBRARIES_CALLER_ROUTE_PATH_H_
#define LIBRARIES_CALLER_ROUTE_PATH_H_

#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace agaterun::caller {

// The components of a request target "/SERVICE/PATH?QUERY".
struct ServiceTarget {
  std::string_view service;
  std::string_view rest;  // "/PATH?QUERY", as sent to the backend server.
};

// Fails with ErrorKind::kMalformedMessage when the target has no service name.
Result<ServiceTarget> SplitTarget(std::string_view target);

// Normalizes a path for the route lookup: removes the query, decodes percent
// escapes and merges repeated slashes. Fails with ErrorKind::kMalformedMessage
// for "." and ".." segments and control characters.
Result<std::string> ReadRoutePath(std::string_view rest);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_ROUTE_PATH_H_
