#include "libraries/membership/directory_keeper.h"

#include <algorithm>

#include "libraries/membership/revision.h"

namespace agaterun::membership {

namespace {

// If digests still differ after this long, all endpoints are queried instead of
// the changes alone.
constexpr Duration kFullComparisonDelay = 1s;

}  // namespace

void DirectoryKeeper::RecordRevision(Instant now, std::uint64_t revision) {
  if (EraOf(revision) <= this->era) {
    return;
  }
  this->era = EraOf(revision);
  // A node without a list has nothing that could be later than the copy.
  if (this->directory.CompleteRevision() > 0) {
    this->restored_at = now;
  }
}

bool DirectoryKeeper::IsReregistering(Instant now) const {
  return this->restored_at && now - *this->restored_at < kReregistrationTime;
}

bool DirectoryKeeper::ApplyList(Instant now, const EndpointList& list) {
  this->RecordRevision(now, list.revision);
  const bool changed = this->IsReregistering(now)
                           ? this->directory.MergeEntries(list.entries)
                           : this->directory.ApplyList(list);
  if (list.is_current &&
      this->reader_election.Mode() == ReadingMode::kWatching) {
    this->reader_election.RecordOwnReading(now, list.changes_followed_for);
  }
  return changed;
}

bool DirectoryKeeper::ApplyChanges(Instant now,
                                   const EndpointChanges& changes) {
  this->RecordRevision(now, changes.revision);
  const bool changed = this->directory.ApplyChanges(changes);
  if (this->reader_election.Mode() == ReadingMode::kWatching) {
    this->reader_election.RecordOwnReading(now, changes.changes_followed_for);
  }
  return changed;
}

bool DirectoryKeeper::ApplyLocalEndpoint(Instant now,
                                         const LocalEndpoint& endpoint) {
  this->RecordRevision(
      now, endpoint.entry ? endpoint.entry->revision : endpoint.revision);
  if (endpoint.entry) {
    return this->IsReregistering(now)
               ? this->directory.MergeEntries({*endpoint.entry})
               : this->directory.ApplyEntry(*endpoint.entry);
  }
  const bool is_removal = NumberInEra(endpoint.revision) != 0;
  if (!is_removal && this->IsReregistering(now)) {
    return false;
  }
  // A read that finds no entry may return no revision. It is later than the
  // known entry.
  const auto known_at = this->directory.RevisionOf(endpoint.id);
  return this->directory.ApplyRemoval(endpoint.id,
                                      std::max(endpoint.revision, known_at));
}

bool DirectoryKeeper::UpdateFromPeer(Instant now,
                                     const EndpointChanges& changes) {
  this->RecordRevision(now, changes.revision);
  if (this->IsReregistering(now)) {
    bool changed = this->directory.MergeEntries(changes.entries);
    for (const auto& [id, revision] : changes.removed) {
      changed |= this->directory.ApplyRemoval(id, revision);
    }
    return changed;
  }
  if (!changes.is_full_list) {
    return this->directory.ApplyChanges(changes);
  }
  return this->directory.ApplyList(
      {.entries = changes.entries, .revision = changes.revision});
}

void DirectoryKeeper::ProcessHeartbeat(Instant now,
                                       const decision::Heartbeat& heartbeat,
                                       bool same_configuration) {
  this->RecordRevision(now, heartbeat.directory_revision);
  this->reader_election.RecordReader(now, heartbeat.from, heartbeat.reading);
  if (heartbeat.directory_digest != this->directory.Digest()) {
    this->differs_since = this->differs_since.value_or(now);
    return;
  }
  this->differs_since.reset();
  this->directory.SetCompleteRevision(heartbeat.directory_revision);
  if (same_configuration && heartbeat.platform_age != Duration::max()) {
    this->reader_election.RecordConfirmation(now, heartbeat.platform_age);
  }
}

bool DirectoryKeeper::ShouldQuery(Instant now,
                                  const decision::Heartbeat& heartbeat) {
  const bool is_different =
      heartbeat.directory_digest != this->directory.Digest();
  const bool is_later =
      heartbeat.directory_revision > this->directory.CompleteRevision();
  return is_different && heartbeat.directory_revision > 0 &&
         (is_later || this->QuerySinceRevision(now) == 0);
}

std::uint64_t DirectoryKeeper::QuerySinceRevision(Instant now) const {
  const bool has_diverged =
      this->differs_since && now - *this->differs_since > kFullComparisonDelay;
  return has_diverged ? 0 : this->directory.CompleteRevision();
}

void DirectoryKeeper::FillHeartbeat(Instant now,
                                    decision::Heartbeat& heartbeat) const {
  heartbeat.directory_digest = this->directory.Digest();
  heartbeat.directory_revision = this->directory.CompleteRevision();
  heartbeat.reading = this->reader_election.Reading(now);
  heartbeat.platform_age =
      this->reader_election.Age(now).value_or(Duration::max());
}

}  // namespace agaterun::membership
