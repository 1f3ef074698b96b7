#ifndef LIBRARIES_CALLER_ROUTE_PATH_H_
#define LIBRARIES_CALLER_ROUTE_PATH_H_

#include <string>
#include <string_view>

#include "libraries/base/error.h"

namespace agaterun::caller {

// A target "/SERVICE/PATH?QUERY" in its parts.
struct ServiceTarget {
  std::string_view service;
  std::string_view rest;  // "/PATH?QUERY", as the backend server gets it.
};

// Fails with ErrorKind::kMalformedMessage when no service is named.
Result<ServiceTarget> SplitTarget(std::string_view target);

// The path by which routes are found: without query, escapes decoded, repeated
// slashes merged. Fails with ErrorKind::kMalformedMessage for "." and ".."
// segments and control characters.
Result<std::string> ReadRoutePath(std::string_view rest);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_ROUTE_PATH_H_
