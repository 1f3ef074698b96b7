#include "libraries/membership/refused_entries.h"

#include <cstddef>

namespace agaterun::membership {

namespace {

constexpr std::size_t kMaxEntries = 1024;

}  // namespace

bool RefusedEntries::ShouldReport(const RefusedEntry& entry) {
  const auto found = this->reasons.find(entry.id);
  if (found != this->reasons.end()) {
    const bool is_other_reason = found->second != entry.why;
    found->second = entry.why;
    return is_other_reason;
  }
  if (this->reasons.size() >= kMaxEntries) {
    return false;
  }
  this->reasons.emplace(entry.id, entry.why);
  return true;
}

}  // namespace agaterun::membership
