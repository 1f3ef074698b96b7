#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

PeerState& PeerTable::At(NodeAddress address) {
  return this->peers[address];
}

const PeerState* PeerTable::Find(NodeAddress address) const {
  const auto found = this->peers.find(address);
  return found == this->peers.end() ? nullptr : &found->second;
}

void PeerTable::Heard(Instant now, NodeAddress address) {
  auto& peer = this->At(address);
  if (peer.first_heard == Instant{}) {
    peer.first_heard = now;
  }
  peer.last_heard = now;
  peer.losses = 0;
}

void PeerTable::ReportLoad(Instant now,
                           NodeAddress address,
                           const LoadReport& load) {
  this->Heard(now, address);
  auto& peer = this->At(address);
  peer.load = load;
  peer.load_reported = now;
}

bool PeerTable::ReportHeartbeat(Instant now, const Heartbeat& heartbeat) {
  auto& peer = this->At(heartbeat.from);
  const bool is_new = peer.incarnation != heartbeat.incarnation;
  if (is_new) {
    // Attempts under way are counted by this node, whoever answers them.
    peer = PeerState{.incarnation = heartbeat.incarnation,
                     .first_heard = now,
                     .listed_as_leaving = peer.listed_as_leaving,
                     .in_flight = peer.in_flight};
  }
  this->ReportLoad(now, heartbeat.from, heartbeat.load);
  peer.state_digest = heartbeat.state_digest;
  return is_new;
}

}  // namespace agaterun::decision
