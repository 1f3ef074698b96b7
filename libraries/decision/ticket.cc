#include "libraries/decision/ticket.h"

#include <xxhash.h>

namespace agaterun::decision {

namespace {

std::uint64_t DigestOf(const TicketState& state) {
  XXH64_state_t* hash = XXH64_createState();
  XXH64_reset(hash, 0);
  for (const auto& [name, item] : state.items) {
    XXH64_update(hash, name.data(), name.size());
    XXH64_update(hash, &item.number, sizeof(item.number));
    XXH64_update(hash, &item.text_hash, sizeof(item.text_hash));
  }
  const auto digest = XXH64_digest(hash);
  XXH64_freeState(hash);
  return digest;
}

}  // namespace

// FIXME: The format of tickets is not parsed yet.
tl::expected<Ticket, std::vector<TicketFault>> ParseTicket(
    std::string_view /*text*/) {
  return tl::unexpected(
      std::vector{TicketFault{.line = 0, .message = "not parsed yet"}});
}

tl::expected<TicketItem, std::vector<TicketFault>> ParseTicketItem(
    const TicketItemText& /*item*/) {
  return tl::unexpected(
      std::vector{TicketFault{.line = 0, .message = "not parsed yet"}});
}

std::shared_ptr<const TicketState> MergeTicketItems(
    const std::shared_ptr<const TicketState>& state,
    const std::vector<TicketItem>& items,
    std::vector<std::string>& conflicts) {
  std::shared_ptr<TicketState> merged;
  for (const auto& item : items) {
    const auto& current = merged ? *merged : *state;
    if (const auto known = current.items.find(item.name);
        known != current.items.end()) {
      const auto& [name_in_force, in_force] = *known;
      if (in_force.number == item.number &&
          in_force.text_hash != item.text_hash) {
        conflicts.push_back(item.name);
      }
      if (std::pair(in_force.number, in_force.text_hash) >=
          std::pair(item.number, item.text_hash)) {
        continue;
      }
    }
    if (!merged) {
      merged = std::make_shared<TicketState>(*state);
    }
    merged->items[item.name] = item;
  }
  if (!merged) {
    return state;
  }
  merged->digest = DigestOf(*merged);
  return merged;
}

}  // namespace agaterun::decision
