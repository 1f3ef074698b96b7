#include "libraries/decision/membership.h"

#include <utility>

namespace agaterun::decision {

namespace {

// Datagrams that waited while this node was frozen are read within this time.
constexpr Duration kStaleDatagrams = 100ms;
constexpr std::size_t kMostPeers = 4096;

}  // namespace

void Membership::Start(Instant now) {
  this->started = now;
  this->listening_since = now;
}

// Loads and liveness that were noted before this node froze tell nothing of
// now. The incarnations stay, so that old lives are still told apart.
void Membership::Relearn(Instant now) {
  this->listening_since = now;
  this->deaf_until = now + kStaleDatagrams;
  for (const auto& [address, peer] : this->peers.All()) {
    this->peers.At(address) =
        PeerState{.incarnation = peer.incarnation,
                  .listed_as_leaving = peer.listed_as_leaving,
                  .in_flight = peer.in_flight};
  }
}

bool Membership::NoteHeartbeat(Instant now, const Heartbeat& heartbeat) {
  const auto from = heartbeat.from;
  const auto* known = this->peers.Find(from);
  if (from == this->self || !this->Listens(now) ||
      (known == nullptr && this->peers.All().size() >= kMostPeers)) {
    return false;
  }
  if (const auto old = this->replaced.find(from);
      old != this->replaced.end() && old->second == heartbeat.incarnation) {
    return false;
  }
  const auto incarnation = known == nullptr ? 0 : known->incarnation;
  if (this->peers.ReportHeartbeat(now, heartbeat) && incarnation != 0) {
    this->replaced[from] = incarnation;
  }
  this->hints.NoteHints(now, heartbeat.leaving_hints);
  this->MarkLeavingHosts();
  return true;
}

void Membership::NoteHostList(Instant now,
                              const std::vector<HostListEntry>& hosts) {
  this->hints.NoteList(now, hosts);
  this->MarkLeavingHosts();
}

// The list only adds to what hosts say of themselves, and says nothing of a
// process that was first heard after the list had changed.
void Membership::MarkLeavingHosts() {
  const bool had_hints = std::exchange(this->has_hints, !this->hints.IsEmpty());
  if (!had_hints && !this->has_hints) {
    return;
  }
  for (const auto& [address, peer] : this->peers.All()) {
    const auto since = this->hints.ListedSince(address);
    const bool is_listed = since && peer.first_heard <= *since;
    if (peer.listed_as_leaving != is_listed) {
      this->peers.At(address).listed_as_leaving = is_listed;
    }
  }
}

bool Membership::ListedAsLeaving() const {
  const auto since = this->hints.ListedSince(this->self);
  return since && *since > this->started;
}

}  // namespace agaterun::decision
