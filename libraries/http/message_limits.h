#ifndef LIBRARIES_HTTP_MESSAGE_LIMITS_H_
#define LIBRARIES_HTTP_MESSAGE_LIMITS_H_

#include <cstddef>

namespace agaterun::http {

// Largest messages that a parser takes.
struct MessageLimits {
  std::size_t header_bytes = 16 * 1024;  // Start line and headers.
  std::size_t body_bytes = 1024 * 1024;
};

}  // namespace agaterun::http

#endif  // LIBRARIES_HTTP_MESSAGE_LIMITS_H_
