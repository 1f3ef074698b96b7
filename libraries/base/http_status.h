#ifndef LIBRARIES_BASE_HTTP_STATUS_H_
#define LIBRARIES_BASE_HTTP_STATUS_H_

// Statuses of answers (RFC 9110, section 15).
namespace agaterun::http_status {

inline constexpr int kOk = 200;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kGone = 410;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadersTooLarge = 431;
// The least that tells of a failure of the server.
inline constexpr int kServerErrors = 500;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;

}  // namespace agaterun::http_status

#endif  // LIBRARIES_BASE_HTTP_STATUS_H_
