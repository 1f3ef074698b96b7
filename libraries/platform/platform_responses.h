#ifndef LIBRARIES_PLATFORM_PLATFORM_RESPONSES_H_
#define LIBRARIES_PLATFORM_PLATFORM_RESPONSES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/error.h"
#include "libraries/decision/events.h"

namespace agaterun::platform {

// Largest value that the platform's service holds.
inline constexpr std::size_t kLargestValueBytes = 1024 * 1024;

struct PublishedTicket {
  std::uint64_t number = 0;
  std::string text;
};

// Reads the body of GET /v1/tickets: tickets after `after`, in ascending
// order. Fails with ErrorKind::kMalformedMessage or kLimitReached.
Result<std::vector<PublishedTicket>> ParseTicketPage(std::string_view body,
                                                     std::uint64_t after);

// Reads the body of GET /v1/hosts. Fails with ErrorKind::kMalformedMessage.
Result<std::vector<decision::HostListEntry>> ParseHostList(
    std::string_view body);

}  // namespace agaterun::platform

#endif  // LIBRARIES_PLATFORM_PLATFORM_RESPONSES_H_
