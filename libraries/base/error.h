#ifndef LIBRARIES_BASE_ERROR_H_
#define LIBRARIES_BASE_ERROR_H_

#include <array>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "libraries/base/enum_names.h"

namespace agaterun {

enum class ErrorKind {
  kInvalidArgument,
  kInvalidSettings,
  kInvalidTicket,
  kMalformedFrame,
  kMalformedMessage,
  kAllowanceExceedsLoan,
  kConnectionFailed,
  kTimedOut,
  kNotFound,
  kLimitReached,
  kInputOutput,
};

inline constexpr std::array kErrorKindNames = {
    EnumName<ErrorKind>{ErrorKind::kInvalidArgument, "invalid argument"},
    EnumName<ErrorKind>{ErrorKind::kInvalidSettings, "invalid settings"},
    EnumName<ErrorKind>{ErrorKind::kInvalidTicket, "invalid ticket"},
    EnumName<ErrorKind>{ErrorKind::kMalformedFrame, "malformed frame"},
    EnumName<ErrorKind>{ErrorKind::kMalformedMessage, "malformed message"},
    EnumName<ErrorKind>{ErrorKind::kAllowanceExceedsLoan,
                        "allowance exceeds loan"},
    EnumName<ErrorKind>{ErrorKind::kConnectionFailed, "connection failed"},
    EnumName<ErrorKind>{ErrorKind::kTimedOut, "timed out"},
    EnumName<ErrorKind>{ErrorKind::kNotFound, "not found"},
    EnumName<ErrorKind>{ErrorKind::kLimitReached, "limit reached"},
    EnumName<ErrorKind>{ErrorKind::kInputOutput, "input/output"},
};

// An error to hand to a person: the message names the remedy.
struct Error {
  ErrorKind kind = ErrorKind::kInvalidArgument;
  std::string message;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> MakeError(ErrorKind kind, std::string message) {
  return tl::unexpected<Error>(Error{kind, std::move(message)});
}

}  // namespace agaterun

#endif  // LIBRARIES_BASE_ERROR_H_
