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

// What this node knows of the tickets. Items merge by number; those of a
// ticket of which a part is missing wait until the rest is there.
class TicketStore {
 public:
  struct MergeResult {
    bool changed = false;
    // Names that had two texts under one number, each reported once.
    std::vector<std::string> conflicts;
    // Faults of items that can't be read.
    std::vector<std::string> faults;
  };

  TicketStore();

  // Merges all items that can take effect with their whole ticket.
  MergeResult Merge(const std::vector<TicketItemText>& items);

  const std::shared_ptr<const TicketState>& State() const {
    return this->state;
  }
  bool IsEmpty() const { return this->state->items.empty(); }
  std::uint64_t HighestNumber() const;

  // Items that a node with the versions `have` lacks.
  std::vector<TicketItemText> NewerThan(
      const std::vector<TicketItemVersion>& have) const;

  // True when `have` names something that this store may lack.
  bool LacksAny(const std::vector<TicketItemVersion>& have) const;

  // True when this store has had the state with this digest, or has it: it
  // holds nothing newer. Zero is the digest of no state.
  bool Covers(std::uint64_t digest) const;

 private:
  using Candidates = std::map<std::string, std::vector<TicketItem>>;

  // Moves items out of `waiting` whose ticket is whole.
  std::vector<TicketItem> SelectCompleteItems();
  bool IsComplete(const TicketItem& item,
                  const std::map<std::string, std::size_t>& chosen) const;
  void DropOutdated();

  std::shared_ptr<const TicketState> state;
  // Best first.
  Candidates pending;
  std::deque<std::uint64_t> former_digests;  // Digests of earlier states.
  std::set<std::pair<std::string, std::uint64_t>> reported_conflicts;
};

// `items` in their order, as messages that fit a frame between nodes: at least
// one, as an empty message says that there is nothing newer.
std::vector<std::vector<TicketItemText>> SplitIntoMessages(
    const std::vector<TicketItemText>& items);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_STORE_H_
