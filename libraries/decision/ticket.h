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

// One fault of a ticket. `line` counts from 1; 0 stands for the whole text.
struct TicketFault {
  int line = 0;
  std::string message;  // Names the remedy.
};

// A change ticket: its number and the whole new state of what it touches.
struct Ticket {
  std::uint64_t number = 0;
  std::vector<TicketItemText> items;
};

// Checks a ticket whole. Pure: every node accepts or refuses the same text.
// Returns all faults, not just the first.
tl::expected<Ticket, std::vector<TicketFault>> ParseTicket(
    std::string_view text);

// Parses one item as ParseTicket split it off.
tl::expected<TicketItem, std::vector<TicketFault>> ParseTicketItem(
    const TicketItemText& item);

// The digest of a state that has just these versions, in the order of names.
std::uint64_t DigestOf(const std::vector<TicketItemVersion>& versions);

// Names and versions of all items of `state`, in the order of names.
std::vector<TicketItemVersion> VersionsOf(const TicketState& state);

// `state` with `items` merged in: per name the larger number stays, and of
// equal numbers the larger ticket hash, then the larger text hash. Returns
// `state` itself when nothing changed. `conflicts` gets the names with two
// texts under one number.
std::shared_ptr<const TicketState> MergeTicketItems(
    const std::shared_ptr<const TicketState>& state,
    const std::vector<TicketItem>& items,
    std::vector<std::string>& conflicts);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_H_
