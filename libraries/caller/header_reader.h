#ifndef LIBRARIES_CALLER_HEADER_READER_H_
#define LIBRARIES_CALLER_HEADER_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"

// Strict parsing of header values. All errors are
// ErrorKind::kMalformedMessage, with a message for the caller.
namespace agaterun::caller {

inline constexpr std::string_view kProductHeaderPrefix = "Agaterun-";

// True for header names with the prefix of agaterun, in any letter case.
bool IsProductHeader(std::string_view name);

// Value of the header, or nothing if it is missing. Fails when the header
// occurs more than once.
Result<std::optional<std::string_view>> ReadSingleHeader(
    const HttpHeaders& headers,
    std::string_view name);

// Parses the entire text as an unsigned number in base 10 or 16. Returns
// nothing for signs, spaces, trailing characters or overflow.
std::optional<std::uint64_t> ReadNumber(std::string_view text, int base);

// Formats a number in hexadecimal, zero-padded on the left to `digits`.
std::string WriteHexadecimal(std::uint64_t number, std::size_t digits = 0);

// Validates a text that is stored and displayed: 1 to `limit` bytes of visible
// ASCII. `kind` names the text in the error message.
Result<std::string> ReadToken(std::string_view text,
                              std::string_view kind,
                              std::size_t limit);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_HEADER_READER_H_
