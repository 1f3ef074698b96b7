#include "libraries/platform/platform_responses.h"

#include <nlohmann/json.hpp>

namespace agaterun::platform {

namespace {

using Json = nlohmann::json;

tl::unexpected<Error> Malformed(const std::string& what) {
  return MakeError(ErrorKind::kMalformedMessage,
                   what +
                       "; check that the settings name the platform's "
                       "service and that it is whole");
}

// The array called `name` in the object that `body` holds.
Result<Json> ParseArray(std::string_view body, const char* name) {
  // Without exceptions, a fault shows as a discarded value.
  Json whole = Json::parse(body, nullptr, false);
  if (!whole.is_object()) {
    return Malformed("the body is no JSON object");
  }
  const auto found = whole.find(name);
  if (found == whole.end() || !found->is_array()) {
    return Malformed(std::string("the body has no array '") + name + "'");
  }
  return std::move(*found);
}

Result<PublishedTicket> ParseTicketRow(const Json& row) {
  if (!row.is_object() || !row.contains("number") || !row.contains("text") ||
      !row["number"].is_number_unsigned() || !row["text"].is_string()) {
    return Malformed("a ticket lacks its number or text");
  }
  PublishedTicket ticket{.number = row["number"].get<std::uint64_t>(),
                         .text = row["text"].get<std::string>()};
  if (ticket.text.size() > kLargestValueBytes) {
    return MakeError(ErrorKind::kLimitReached,
                     "ticket " + std::to_string(ticket.number) +
                         " is larger than 1 MB; issue smaller tickets");
  }
  return ticket;
}

Result<decision::HostListEntry> ParseHostRow(const Json& row) {
  if (!row.is_object() || !row.contains("node") || !row["node"].is_string()) {
    return Malformed("a host lacks its node address");
  }
  const auto node = NodeAddress::Parse(row["node"].get<std::string>());
  if (!node) {
    return Malformed(node.error().message);
  }
  decision::HostListEntry entry{.node = *node};
  if (row.contains("name") && row["name"].is_string()) {
    entry.name = row["name"].get<std::string>();
  }
  if (row.contains("leaving")) {
    if (!row["leaving"].is_boolean()) {
      return Malformed("'leaving' of a host is neither true nor false");
    }
    entry.leaving = row["leaving"].get<bool>();
  }
  return entry;
}

}  // namespace

Result<std::vector<PublishedTicket>> ParseTicketPage(std::string_view body,
                                                     std::uint64_t after) {
  const auto rows = ParseArray(body, "tickets");
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::vector<PublishedTicket> tickets;
  for (const auto& row : *rows) {
    auto ticket = ParseTicketRow(row);
    if (!ticket) {
      return tl::unexpected(ticket.error());
    }
    // Paging goes on from the last number; one that does not rise would loop.
    if (ticket->number <= after) {
      return Malformed("the tickets are not in ascending order");
    }
    after = ticket->number;
    tickets.push_back(std::move(*ticket));
  }
  return tickets;
}

Result<std::vector<decision::HostListEntry>> ParseHostList(
    std::string_view body) {
  const auto rows = ParseArray(body, "hosts");
  if (!rows) {
    return tl::unexpected(rows.error());
  }
  std::vector<decision::HostListEntry> hosts;
  for (const auto& row : *rows) {
    auto host = ParseHostRow(row);
    if (!host) {
      return tl::unexpected(host.error());
    }
    hosts.push_back(std::move(*host));
  }
  return hosts;
}

}  // namespace agaterun::platform
