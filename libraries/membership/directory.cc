#include "libraries/membership/directory.h"

#include <xxhash.h>

#include <algorithm>
#include <set>
#include <utility>

#include "libraries/node/frame_archive.h"

namespace agaterun::membership {

namespace {

// Maximum number of removals stored for other nodes.
constexpr std::size_t kMaxStoredRemovals = 256;

// Hash of the parts of an entry that make up the digest. A change of its
// revision or warm-up time alone doesn't change the hash.
std::uint64_t HashOf(EndpointEntry entry) {
  entry.revision = 0;
  entry.warmup_remaining = {};
  std::string bytes;
  node::FrameOutputArchive archive(bytes);
  archive(entry);
  return XXH64(bytes.data(), bytes.size(), 0);
}

}  // namespace

bool Directory::ApplyEntry(EndpointEntry entry) {
  const auto known = this->entries.find(entry.id);
  if (known != this->entries.end()) {
    auto& [stored, changed_at] = known->second;
    if (entry.revision < stored.revision) {
      return false;
    }
    // An incarnation that leaves does not become ready again; an entry that
    // says so comes from a restored copy.
    entry.leaving |= stored.leaving && entry.started_at != 0 &&
                     entry.started_at == stored.started_at;
    const auto before = HashOf(stored);
    const auto after = HashOf(entry);
    stored = entry;
    this->digest += after - before;
    changed_at = before == after ? changed_at : entry.revision;
    return before != after;
  }
  // All endpoints at the complete revision are known. An unknown endpoint with
  // an earlier revision has been removed since.
  const auto removal = this->removed.find(entry.id);
  if (entry.revision <= this->complete_revision ||
      (removal != this->removed.end() && entry.revision <= removal->second)) {
    return false;
  }
  this->entries.emplace(
      entry.id, StoredEntry{.entry = entry, .changed_at = entry.revision});
  this->digest += HashOf(entry);
  return true;
}

bool Directory::MergeEntries(const std::vector<EndpointEntry>& restored) {
  bool changed = false;
  for (const auto& entry : restored) {
    const auto known = this->entries.find(entry.id);
    if (known == this->entries.end()) {
      changed |= !this->removed.contains(entry.id) && this->ApplyEntry(entry);
      continue;
    }
    const auto& stored = known->second.entry;
    if (entry.started_at > stored.started_at ||
        (entry.started_at == stored.started_at && entry.leaving)) {
      changed |= this->ApplyEntry(entry);
    }
  }
  return changed;
}

bool Directory::ApplyRemoval(const std::string& id, std::uint64_t revision) {
  const auto known = this->entries.find(id);
  if (known != this->entries.end() && known->second.entry.revision > revision) {
    return false;
  }
  auto& last_removal = this->removed[id];
  last_removal = std::max(last_removal, revision);
  if (known == this->entries.end()) {
    return false;
  }
  this->digest -= HashOf(known->second.entry);
  this->entries.erase(known);
  return true;
}

bool Directory::ApplyChanges(const EndpointChanges& changes) {
  bool changed = false;
  for (const auto& entry : changes.entries) {
    changed |= this->ApplyEntry(entry);
  }
  for (const auto& [id, revision] : changes.removed) {
    changed |= this->ApplyRemoval(id, revision);
  }
  if (changes.since <= this->complete_revision) {
    this->SetCompleteRevision(changes.revision);
  }
  return changed;
}

EndpointChanges Directory::ChangesSince(std::uint64_t revision) const {
  const bool is_full_list = revision < this->removals_known_since;
  EndpointChanges changes{.since = is_full_list ? 0 : revision,
                          .revision = this->complete_revision,
                          .is_full_list = is_full_list};
  for (const auto& [id, known] : this->entries) {
    if (is_full_list || known.changed_at > revision) {
      changes.entries.push_back(known.entry);
    }
  }
  for (const auto& [id, removed_at] : this->removed) {
    if (!is_full_list && removed_at > revision) {
      changes.removed.emplace_back(id, removed_at);
    }
  }
  return changes;
}

bool Directory::ApplyList(const EndpointList& list) {
  bool changed = false;
  std::set<std::string> listed;
  for (const auto& entry : list.entries) {
    listed.insert(entry.id);
    changed |= this->ApplyEntry(entry);
  }
  std::vector<std::string> missing;
  for (const auto& [id, known] : this->entries) {
    if (known.entry.revision <= list.revision && !listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    changed |= this->ApplyRemoval(id, list.revision);
  }
  this->SetCompleteRevision(list.revision);
  return changed;
}

void Directory::SetCompleteRevision(std::uint64_t revision) {
  if (this->complete_revision == 0) {
    // Removals before the first list are unknown.
    this->removals_known_since = revision;
  }
  this->complete_revision = std::max(this->complete_revision, revision);
  while (this->removed.size() > kMaxStoredRemovals) {
    const auto oldest = std::min_element(
        this->removed.begin(), this->removed.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    this->removals_known_since =
        std::max(this->removals_known_since, oldest->second);
    this->removed.erase(oldest);
  }
}

std::uint64_t Directory::RevisionOf(const std::string& id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? 0 : found->second.entry.revision;
}

std::vector<EndpointEntry> Directory::Entries() const {
  std::vector<EndpointEntry> all;
  for (const auto& [id, known] : this->entries) {
    all.push_back(known.entry);
  }
  return all;
}

}  // namespace agaterun::membership
