#include "libraries/membership/directory_keeper.h"

#include <algorithm>

namespace agaterun::membership {

namespace {

// If digests still differ after this long, all endpoints are queried instead of
// the changes alone.
constexpr Duration kCompareAll = 1s;

}  // namespace

bool DirectoryKeeper::ApplyList(Instant now, const EndpointList& list) {
  const bool changed = this->directory.ApplyList(list);
  if (list.is_current && this->rota.Mode() == ReadingMode::kWatching) {
    this->rota.Follows(now, list.followed_for);
  }
  return changed;
}

bool DirectoryKeeper::ApplyChanges(Instant now, const EndpointChanges& changes) {
  const bool changed = this->directory.ApplyChanges(changes);
  if (this->rota.Mode() == ReadingMode::kWatching) {
    this->rota.Follows(now, changes.followed_for);
  }
  return changed;
}

bool DirectoryKeeper::ApplyLocalEndpoint(const LocalEndpoint& endpoint) {
  if (endpoint.entry) {
    return this->directory.TakeEntry(*endpoint.entry);
  }
  // A read that finds no entry may return no revision. It is later than the
  // known entry.
  const auto known_at = this->directory.RevisionOf(endpoint.id);
  return this->directory.TakeRemoval(endpoint.id,
                                     std::max(endpoint.revision, known_at));
}

bool DirectoryKeeper::UpdateFromPeer(const EndpointChanges& changes) {
  if (!changes.is_all) {
    return this->directory.ApplyChanges(changes);
  }
  return this->directory.ApplyList(
      {.entries = changes.entries, .revision = changes.revision});
}

void DirectoryKeeper::ProcessHeartbeat(Instant now,
                                    const decision::Heartbeat& heartbeat,
                                    bool same_configuration) {
  this->rota.Received(now, heartbeat.from, heartbeat.reading);
  if (heartbeat.directory_digest != this->directory.Digest()) {
    this->differs_since = this->differs_since.value_or(now);
    return;
  }
  this->differs_since.reset();
  this->directory.SetComplete(heartbeat.directory_revision);
  if (same_configuration && heartbeat.platform_age != Duration::max()) {
    this->rota.Told(now, heartbeat.platform_age);
  }
}

bool DirectoryKeeper::ShouldAsk(Instant now,
                                const decision::Heartbeat& heartbeat) {
  const bool is_different =
      heartbeat.directory_digest != this->directory.Digest();
  const bool is_later =
      heartbeat.directory_revision > this->directory.CompleteRevision();
  return is_different && heartbeat.directory_revision > 0 &&
         (is_later || this->AskSince(now) == 0);
}

std::uint64_t DirectoryKeeper::AskSince(Instant now) const {
  const bool is_stuck =
      this->differs_since && now - *this->differs_since > kCompareAll;
  return is_stuck ? 0 : this->directory.CompleteRevision();
}

void DirectoryKeeper::Tell(Instant now, decision::Heartbeat& heartbeat) const {
  heartbeat.directory_digest = this->directory.Digest();
  heartbeat.directory_revision = this->directory.CompleteRevision();
  heartbeat.reading = this->rota.Reading(now);
  heartbeat.platform_age = this->rota.Age(now).value_or(Duration::max());
}

}  // namespace agaterun::membership
