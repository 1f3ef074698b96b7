#ifndef LIBRARIES_DECISION_TICKET_H_
#define LIBRARIES_DECISION_TICKET_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "libraries/decision/events.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

inline constexpr std::size_t kMaxTicketBytes = 1024 * 1024;
inline constexpr std::size_t kMaxTicketItems = 128;

// One error in a ticket. `line` counts from 1; 0 stands for the whole text.
struct TicketFault {
  int line = 0;
  std::string message;  // Includes the remedy.
};

// A change ticket: its number and the complete new state of each service and
// policy that it changes.
struct Ticket {
  std::uint64_t number = 0;
  std::vector<TicketItemText> items;
};

// Parses and checks a complete ticket. A pure function, so that every node
// accepts or refuses the same text. Returns all errors, not just the first.
tl::expected<Ticket, std::vector<TicketFault>> ParseTicket(
    std::string_view text);

// Parses one item, as ParseTicket produced it from a ticket.
tl::expected<TicketItem, std::vector<TicketFault>> ParseTicketItem(
    const TicketItemText& item);

// The digest of a state that contains exactly these versions, which must be
// ordered by name.
std::uint64_t DigestOf(const std::vector<TicketItemVersion>& versions);

// Names and versions of all items of `state`, ordered by name.
std::vector<TicketItemVersion> VersionsOf(const TicketState& state);

// Merges `items` into `state`: for each name the larger number wins; for equal
// numbers the larger ticket hash, then the larger text hash. Returns `state`
// itself if nothing changed. Appends to `conflicts` the names that have two
// texts under one number.
std::shared_ptr<const TicketState> MergeTicketItems(
    const std::shared_ptr<const TicketState>& state,
    const std::vector<TicketItem>& items,
    std::vector<std::string>& conflicts);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_H_
