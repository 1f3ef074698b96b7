#include "libraries/decision/leaving_hints.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kHintLifetime = 5s;
// A peer that has not received the hint by then was disconnected, and requests
// current state when it reconnects.
constexpr Duration kForwardDuration = 60s;
constexpr std::size_t kMaxForwardedHints = 32;
constexpr std::size_t kMaxHints = 2048;

}  // namespace

// Creates a hint only for a change between two reads of this node. The list
// lags: an entry in the first read may refer to an earlier host at the same
// address, and must not make a newly started host leave.
void LeavingHints::UpdateFromHostList(Instant now,
                                      const std::vector<HostListEntry>& hosts) {
  std::map<NodeAddress, bool> list;
  for (const auto& host : hosts) {
    list[host.node] = host.leaving;
    const auto previous = this->last_host_list.find(host.node);
    const auto existing = this->hints.find(host.node);
    if (!host.leaving) {
      this->hints.erase(host.node);
    } else if (existing != this->hints.end()) {
      existing->second.last_listed = now;
    } else if (previous != this->last_host_list.end() && !previous->second) {
      this->MergeHint(host.node, {.listed_since = now, .last_listed = now});
    }
  }
  this->last_host_list = std::move(list);
}

void LeavingHints::MergeHints(Instant now,
                              const std::vector<LeavingHint>& hints) {
  for (const auto& hint : hints) {
    if (hint.seen_age > kHintLifetime || hint.listed_for < Duration{}) {
      continue;
    }
    this->MergeHint(hint.node, {.listed_since = now - hint.listed_for,
                                .last_listed = now - hint.seen_age});
  }
}

void LeavingHints::MergeHint(NodeAddress node, Hint hint) {
  if (this->hints.size() >= kMaxHints && !this->hints.contains(node)) {
    return;
  }
  const auto [existing, is_new] = this->hints.emplace(node, hint);
  if (!is_new) {
    auto& merged = existing->second;
    merged.listed_since = std::min(merged.listed_since, hint.listed_since);
    merged.last_listed = std::max(merged.last_listed, hint.last_listed);
  }
}

std::vector<LeavingHint> LeavingHints::Collect(Instant now) {
  std::erase_if(this->hints, [&](const auto& entry) {
    return now - entry.second.last_listed > kHintLifetime;
  });
  std::vector<LeavingHint> collected;
  for (const auto& [node, hint] : this->hints) {
    if (now - hint.listed_since < kForwardDuration &&
        collected.size() < kMaxForwardedHints) {
      collected.push_back({.node = node,
                           .listed_for = now - hint.listed_since,
                           .seen_age = now - hint.last_listed});
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
