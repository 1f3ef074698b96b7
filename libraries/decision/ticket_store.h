#ifndef LIBRARIES_DECISION_TICKET_STORE_H_
#define LIBRARIES_DECISION_TICKET_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "libraries/decision/events.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// The tickets that this node has received. Items merge by number; items of a
// ticket of which only some have arrived wait for the rest.
class TicketStore {
 public:
  struct MergeResult {
    bool has_changed = false;
    // Names that had two texts under one number. Each conflict is returned
    // once.
    std::vector<std::string> conflicts;
    // Errors in items that can't be parsed.
    std::vector<std::string> faults;
  };

  TicketStore();

  // Merges all items that can take effect together with their whole ticket.
  MergeResult Merge(const std::vector<TicketItemText>& items);

  const std::shared_ptr<const TicketState>& State() const {
    return this->state;
  }
  bool IsEmpty() const { return this->state->items.empty(); }
  std::uint64_t HighestNumber() const;

  // Items that a node with the versions `have` lacks.
  std::vector<TicketItemText> NewerThan(
      const std::vector<TicketItemVersion>& have) const;

  // True if `have` contains something that this store may lack.
  bool LacksAny(const std::vector<TicketItemVersion>& have) const;

  // True if the state with this digest is or was the state of this store, so
  // that it contains nothing newer. Zero is the digest of no state.
  bool Covers(std::uint64_t digest) const;

 private:
  using Candidates = std::map<std::string, std::vector<TicketItem>>;

  // Selects for each name in `pending` the best item whose ticket is complete.
  std::vector<TicketItem> SelectCompleteItems();
  bool IsComplete(const TicketItem& item,
                  const std::map<std::string, std::size_t>& chosen) const;
  void DropOutdated();

  std::shared_ptr<const TicketState> state;
  // Items that wait for the rest of their tickets, by name, best first.
  Candidates pending;
  std::deque<std::uint64_t> former_digests;  // Digests of earlier states.
  std::set<std::pair<std::string, std::uint64_t>> reported_conflicts;
};

// Splits `items`, in their order, into messages that fit a frame between nodes.
// Returns at least one, because an empty message reports that there is nothing
// newer.
std::vector<std::vector<TicketItemText>> SplitIntoMessages(
    const std::vector<TicketItemText>& items);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_STORE_H_
