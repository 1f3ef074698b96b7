#include "libraries/decision/membership.h"

#include <utility>

namespace agaterun::decision {

namespace {

// Datagrams that were queued while this node was frozen are read within this
// time after it resumes.
constexpr Duration kStaleDatagramTime = 100ms;
constexpr std::size_t kMaxPeers = 4096;

}  // namespace

void Membership::Start(Instant now) {
  this->start_time = now;
  this->observing_since = now;
}

// Loads and message times from before the freeze don't describe the current
// state. Incarnations stay, so that messages of replaced processes are still
// recognized.
void Membership::ResetAfterFreeze(Instant now) {
  this->observing_since = now;
  this->ignores_reports_until = now + kStaleDatagramTime;
  for (const auto& [address, peer] : this->peers.All()) {
    this->peers.At(address) =
        PeerState{.incarnation = peer.incarnation,
                  .listed_as_leaving = peer.listed_as_leaving,
                  .in_flight = peer.in_flight};
  }
}

bool Membership::RecordHeartbeat(Instant now, const Heartbeat& heartbeat) {
  const auto from = heartbeat.from;
  const auto* existing = this->peers.Find(from);
  if (from == this->self || !this->AcceptsReports(now) ||
      (existing == nullptr && this->peers.All().size() >= kMaxPeers)) {
    return false;
  }
  if (const auto replaced = this->replaced_incarnations.find(from);
      replaced != this->replaced_incarnations.end() &&
      replaced->second == heartbeat.incarnation) {
    return false;
  }
  const auto incarnation = existing == nullptr ? 0 : existing->incarnation;
  if (this->peers.ReportHeartbeat(now, heartbeat) && incarnation != 0) {
    this->replaced_incarnations[from] = incarnation;
  }
  this->hints.MergeHints(now, heartbeat.leaving_hints);
  this->UpdateListedAsLeaving();
  return true;
}

void Membership::RecordHostList(Instant now,
                                const std::vector<HostListEntry>& hosts) {
  this->hints.UpdateFromHostList(now, hosts);
  this->UpdateListedAsLeaving();
}

// The list only adds to what hosts report about themselves, and does not apply
// to a process whose first message came after the list had changed.
void Membership::UpdateListedAsLeaving() {
  const bool had_hints = std::exchange(this->has_hints, !this->hints.IsEmpty());
  if (!had_hints && !this->has_hints) {
    return;
  }
  for (const auto& [address, peer] : this->peers.All()) {
    const auto listed_since = this->hints.ListedSince(address);
    const bool is_listed = listed_since && peer.first_contact <= *listed_since;
    if (peer.listed_as_leaving != is_listed) {
      this->peers.At(address).listed_as_leaving = is_listed;
    }
  }
}

bool Membership::IsListedAsLeaving() const {
  const auto listed_since = this->hints.ListedSince(this->self);
  return listed_since && *listed_since > this->start_time;
}

}  // namespace agaterun::decision
