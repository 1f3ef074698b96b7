#include "libraries/decision/ticket_store.h"

#include <algorithm>
#include <tuple>

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

namespace {

constexpr std::size_t kMaxFormerDigests = 128;
// Well below the largest frame between nodes.
constexpr std::size_t kMaxItemBytesPerMessage = 2 * 1024 * 1024;
constexpr std::size_t kMaxReportedConflicts = 1024;
// Versions of one name that may wait for the rest of their tickets.
constexpr std::size_t kMaxPendingVersions = 4;

auto MergeOrder(const TicketItem& item) {
  return std::tie(item.number, item.ticket_hash, item.text_hash);
}

}  // namespace

TicketStore::TicketStore() : state(std::make_shared<TicketState>()) {}

TicketStore::MergeResult TicketStore::Merge(
    const std::vector<TicketItemText>& items) {
  MergeResult result;
  std::vector<TicketItem> outdated;
  for (const auto& text : items) {
    auto item = ParseTicketItem(text);
    if (!item) {
      result.faults.push_back(text.name + ": " + item.error().front().message);
      continue;
    }
    const auto known = this->state->items.find(item->name);
    if (known != this->state->items.end() &&
        MergeOrder(known->second) >= MergeOrder(*item)) {
      outdated.push_back(std::move(*item));
      continue;
    }
    this->pending[item->name].push_back(std::move(*item));
  }
  auto mergeable = this->SelectCompleteItems();
  // Outdated items change nothing, but reveal conflicts.
  mergeable.insert(mergeable.end(), std::make_move_iterator(outdated.begin()),
                   std::make_move_iterator(outdated.end()));
  std::vector<std::string> conflicts;
  const auto merged = MergeTicketItems(this->state, mergeable, conflicts);
  for (auto& name : conflicts) {
    const auto number = merged->items.find(name)->second.number;
    if (this->reported_conflicts.size() < kMaxReportedConflicts &&
        this->reported_conflicts.emplace(name, number).second) {
      result.conflicts.push_back(std::move(name));
    }
  }
  if (merged != this->state) {
    // Items are only replaced by newer ones, so this store always covers its
    // former states. Dropping the oldest digest costs at most a needless
    // request.
    this->former_digests.push_back(this->state->digest);
    if (this->former_digests.size() > kMaxFormerDigests) {
      this->former_digests.pop_front();
    }
    this->state = merged;
    this->DropOutdated();
    result.has_changed = true;
  }
  return result;
}

// Selects for each name the best version whose ticket is complete: each sibling
// is selected or in force with that number or a larger one. Rejecting one item
// can leave others without their sibling, so this repeats until nothing
// changes; each round rejects at least one version.
std::vector<TicketItem> TicketStore::SelectCompleteItems() {
  std::map<std::string, std::size_t> chosen;
  for (auto& [name, versions] : this->pending) {
    std::sort(versions.begin(), versions.end(),
              [](const TicketItem& left, const TicketItem& right) {
                return MergeOrder(left) > MergeOrder(right);
              });
    if (versions.size() > kMaxPendingVersions) {
      versions.resize(kMaxPendingVersions);
    }
    chosen[name] = 0;
  }
  bool is_stable = false;
  while (!is_stable) {
    is_stable = true;
    for (auto choice = chosen.begin(); choice != chosen.end();) {
      const auto& versions = this->pending[choice->first];
      if (this->IsComplete(versions[choice->second], chosen)) {
        ++choice;
        continue;
      }
      is_stable = false;
      if (++choice->second == versions.size()) {
        choice = chosen.erase(choice);
      }
    }
  }
  std::vector<TicketItem> complete;
  for (const auto& [name, index] : chosen) {
    complete.push_back(this->pending[name][index]);
  }
  return complete;
}

bool TicketStore::IsComplete(
    const TicketItem& item,
    const std::map<std::string, std::size_t>& chosen) const {
  return std::all_of(
      item.siblings.begin(), item.siblings.end(),
      [&](const std::string& sibling) {
        if (const auto choice = chosen.find(sibling);
            choice != chosen.end() &&
            this->pending.at(sibling)[choice->second].number >= item.number) {
          return true;
        }
        const auto in_force = this->state->items.find(sibling);
        return in_force != this->state->items.end() &&
               in_force->second.number >= item.number;
      });
}

void TicketStore::DropOutdated() {
  for (auto entry = this->pending.begin(); entry != this->pending.end();) {
    const auto in_force = this->state->items.find(entry->first);
    if (in_force != this->state->items.end()) {
      std::erase_if(entry->second, [&](const TicketItem& item) {
        return MergeOrder(item) <= MergeOrder(in_force->second);
      });
    }
    entry = entry->second.empty() ? this->pending.erase(entry) : ++entry;
  }
}

std::uint64_t TicketStore::HighestNumber() const {
  std::uint64_t highest = 0;
  for (const auto& [name, item] : this->state->items) {
    highest = std::max(highest, item.number);
  }
  return highest;
}

std::vector<TicketItemText> TicketStore::NewerThan(
    const std::vector<TicketItemVersion>& have) const {
  std::map<std::string, const TicketItemVersion*, std::less<>> known;
  for (const auto& version : have) {
    known[version.name] = &version;
  }
  std::vector<TicketItemText> newer;
  for (const auto& [name, item] : this->state->items) {
    if (const auto found = known.find(name);
        found != known.end() &&
        std::tie(found->second->number, found->second->ticket_hash,
                 found->second->text_hash) >= MergeOrder(item)) {
      continue;
    }
    newer.push_back({.name = name,
                     .number = item.number,
                     .text = item.text,
                     .ticket_hash = item.ticket_hash,
                     .siblings = item.siblings});
  }
  return newer;
}

bool TicketStore::LacksAny(const std::vector<TicketItemVersion>& have) const {
  return std::any_of(
      have.begin(), have.end(), [&](const TicketItemVersion& version) {
        const auto known = this->state->items.find(version.name);
        return known == this->state->items.end() ||
               std::tie(version.number, version.ticket_hash,
                        version.text_hash) > MergeOrder(known->second);
      });
}

bool TicketStore::Covers(std::uint64_t digest) const {
  return digest == this->state->digest || digest == 0 ||
         std::find(this->former_digests.begin(), this->former_digests.end(),
                   digest) != this->former_digests.end();
}

std::vector<std::vector<TicketItemText>> SplitIntoMessages(
    const std::vector<TicketItemText>& items) {
  std::vector<std::vector<TicketItemText>> messages(1);
  std::size_t bytes = 0;
  for (const auto& item : items) {
    if (bytes > 0 && bytes + item.text.size() > kMaxItemBytesPerMessage) {
      messages.emplace_back();
      bytes = 0;
    }
    bytes += item.text.size();
    messages.back().push_back(item);
  }
  return messages;
}

}  // namespace agaterun::decision
