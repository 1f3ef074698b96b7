#ifndef LIBRARIES_CALLER_HEADER_READER_H_
#define LIBRARIES_CALLER_HEADER_READER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libraries/base/error.h"
#include "libraries/base/http_message.h"

// Strict reading of header values. All fail with
// ErrorKind::kMalformedMessage and a message for the caller.
namespace agaterun::caller {

inline constexpr std::string_view kProductHeaderPrefix = "Agaterun-";

// True for headers of this product.
bool IsProductHeader(std::string_view name);

// Value of the header, or nothing. Fails when it stands there twice.
Result<std::optional<std::string_view>> ReadOnce(const HttpHeaders& headers,
                                                 std::string_view name);

// Whole text as a number in base 10 or 16 without sign or spaces, or nothing.
std::optional<std::uint64_t> ReadNumber(std::string_view text, int base);

// Number in hexadecimal, with zeros before it up to `digits`.
std::string WriteHexadecimal(std::uint64_t number, std::size_t digits = 0);

// Text of `kind` that is kept and shown: visible ASCII, at most `limit` bytes.
Result<std::string> ReadToken(std::string_view text,
                              std::string_view kind,
                              std::size_t limit);

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_HEADER_READER_H_
