#include "libraries/decision/leaving_hints.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kHintLifetime = 5s;
// Who has not heard of it by then was cut off, and asks when it is back.
constexpr Duration kPassOnTime = 60s;
constexpr std::size_t kMostPassedOn = 32;
constexpr std::size_t kMostHints = 2048;

}  // namespace

// Only a change that this reader saw makes a hint. The list lags: what it says
// on the first read may be about an earlier host at the same address, and must
// not make a fresh one leave.
void LeavingHints::NoteList(Instant now,
                            const std::vector<HostListEntry>& hosts) {
  std::map<NodeAddress, bool> list;
  for (const auto& host : hosts) {
    list[host.node] = host.leaving;
    const auto before = this->last_list.find(host.node);
    const auto known = this->hints.find(host.node);
    if (!host.leaving) {
      this->hints.erase(host.node);
    } else if (known != this->hints.end()) {
      known->second.seen = now;
    } else if (before != this->last_list.end() && !before->second) {
      this->Note(host.node, {.listed_since = now, .seen = now});
    }
  }
  this->last_list = std::move(list);
}

void LeavingHints::NoteHints(Instant now,
                             const std::vector<LeavingHint>& hints) {
  for (const auto& hint : hints) {
    if (hint.seen_age > kHintLifetime || hint.listed_for < Duration{}) {
      continue;
    }
    this->Note(hint.node, {.listed_since = now - hint.listed_for,
                           .seen = now - hint.seen_age});
  }
}

void LeavingHints::Note(NodeAddress node, Hint hint) {
  if (this->hints.size() >= kMostHints && !this->hints.contains(node)) {
    return;
  }
  const auto [known, is_new] = this->hints.emplace(node, hint);
  if (!is_new) {
    auto& kept = known->second;
    kept.listed_since = std::min(kept.listed_since, hint.listed_since);
    kept.seen = std::max(kept.seen, hint.seen);
  }
}

std::vector<LeavingHint> LeavingHints::Collect(Instant now) {
  std::erase_if(this->hints, [&](const auto& entry) {
    return now - entry.second.seen > kHintLifetime;
  });
  std::vector<LeavingHint> collected;
  for (const auto& [node, hint] : this->hints) {
    if (now - hint.listed_since < kPassOnTime &&
        collected.size() < kMostPassedOn) {
      collected.push_back({.node = node,
                           .listed_for = now - hint.listed_since,
                           .seen_age = now - hint.seen});
    }
  }
  return collected;
}

std::optional<Instant> LeavingHints::ListedSince(NodeAddress node) const {
  const auto found = this->hints.find(node);
  return found == this->hints.end() ? std::nullopt
                                    : std::optional(found->second.listed_since);
}

}  // namespace agaterun::decision
