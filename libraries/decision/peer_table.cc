#include "libraries/decision/peer_table.h"

#include "libraries/base/verify.h"

namespace agaterun::decision {

namespace {

// Weight of the latest sample in the mean latency.
constexpr double kLatencyWeight = 0.2;

// Weight of the latest response in the mean fraction of errors.
constexpr double kFailureWeight = 0.1;

// Losses within this time have one cause and count once.
constexpr Duration kLossCoalescingTime = 20ms;

// A peer that has sent nothing for a shorter time may just be slow.
constexpr Duration kMinUnresponsiveTime = 250ms;

void RecordLatency(Instant now, PeerState& peer, Duration elapsed) {
  if (peer.latency == Duration{}) {
    peer.latency = elapsed;
  } else {
    peer.latency += std::chrono::duration_cast<Duration>(
        (elapsed - peer.latency) * kLatencyWeight);
  }
  peer.latency_observed_at = now;
}

void RecordLoss(Instant now, PeerState& peer) {
  // A broken connection loses many attempts together; they count as one loss.
  if (peer.losses == 0 || now - peer.last_loss > kLossCoalescingTime) {
    ++peer.losses;
    peer.last_loss = now;
  }
}

void EndAttempt(PeerState& peer) {
  VERIFY(peer.in_flight > 0);
  --peer.in_flight;
}

}  // namespace

PeerState& PeerTable::At(NodeAddress address) {
  return this->peers[address];
}

const PeerState* PeerTable::Find(NodeAddress address) const {
  const auto found = this->peers.find(address);
  return found == this->peers.end() ? nullptr : &found->second;
}

void PeerTable::Received(Instant now, NodeAddress address) {
  auto& peer = this->At(address);
  if (peer.first_contact == Instant{}) {
    peer.first_contact = now;
    peer.warmup_start = now;
  }
  peer.last_contact = now;
  peer.waiting_since = now;
}

void PeerTable::ReportLoad(Instant now,
                           NodeAddress address,
                           const LoadReport& load) {
  this->Received(now, address);
  auto& peer = this->At(address);
  if (load.backend_up && !peer.load.backend_up) {
    peer.warmup_start = now;
  }
  peer.load = load;
  peer.load_reported_at = now;
}

bool PeerTable::ReportHeartbeat(Instant now, const Heartbeat& heartbeat) {
  auto& peer = this->At(heartbeat.from);
  const bool is_new = peer.incarnation != heartbeat.incarnation;
  if (is_new) {
    // In-flight attempts stay in this node's count, whichever process replies
    // to them.
    peer = PeerState{.incarnation = heartbeat.incarnation,
                     .first_contact = now,
                     .listed_as_leaving = peer.listed_as_leaving,
                     .in_flight = peer.in_flight,
                     .warmup_start = now};
  }
  this->ReportLoad(now, heartbeat.from, heartbeat.load);
  peer.state_digest = heartbeat.state_digest;
  return is_new;
}

void PeerTable::RecordAttemptStarted(Instant now, NodeAddress address) {
  auto& peer = this->At(address);
  if (peer.in_flight == 0) {
    peer.waiting_since = now;
  }
  ++peer.in_flight;
}

void PeerTable::RecordAttemptCompleted(Instant now,
                                       NodeAddress address,
                                       Duration elapsed,
                                       bool is_error) {
  auto& peer = this->At(address);
  EndAttempt(peer);
  peer.losses = 0;
  peer.failure_share +=
      ((is_error ? 1.0 : 0.0) - peer.failure_share) * kFailureWeight;
  // A broken backend server often responds immediately. Including its time
  // would make it look like the fastest endpoint.
  if (!is_error) {
    RecordLatency(now, peer, elapsed);
  } else {
    peer.latency_observed_at = now;
  }
}

void PeerTable::RecordAttemptRefused(Instant now,
                                     NodeAddress address,
                                     Reason reason) {
  auto& peer = this->At(address);
  EndAttempt(peer);
  // A refusal shows that the peer is reachable. Its time is no latency sample:
  // a gate that refuses immediately would look like the fastest endpoint.
  peer.losses = 0;
  if (reason == Reason::kOverloaded || reason == Reason::kLimitReached) {
    peer.last_overload_refusal = now;
  }
}

void PeerTable::AttemptLost(Instant now, NodeAddress address) {
  auto& peer = this->At(address);
  EndAttempt(peer);
  RecordLoss(now, peer);
}

void PeerTable::RecordAttemptAbandoned(Instant now,
                                       NodeAddress address,
                                       Duration elapsed) {
  auto& peer = this->At(address);
  EndAttempt(peer);
  // The attempt would have taken even longer. Without this sample an endpoint
  // that never responds would look idle after each deadline.
  if (elapsed > peer.latency) {
    RecordLatency(now, peer, elapsed);
  }
  if (elapsed >= kMinUnresponsiveTime && peer.last_contact < now - elapsed) {
    RecordLoss(now, peer);
  }
}

void PeerTable::RemoveUnlistedPeers(
    const std::unordered_set<NodeAddress>& listed,
    std::size_t max_unlisted) {
  // Hosts are replaced at any time. Recently removed ones may still be queried
  // for the outcome of a binding, so the table is not kept at the minimum.
  if (this->peers.size() <= listed.size() + max_unlisted) {
    return;
  }
  std::erase_if(this->peers, [&](const auto& entry) {
    return entry.second.in_flight == 0 && !listed.contains(entry.first);
  });
}

}  // namespace agaterun::decision
