#include "libraries/decision/ticket_gossip.h"

#include <xxhash.h>

#include <algorithm>

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

namespace {

constexpr Duration kHeartbeatInterval = 300ms;
// Ticks come with every heartbeat; ten missed ones mean that the process was
// frozen.
constexpr Duration kFreezeThreshold = 3s;
constexpr Duration kDigestResendDelay = 200ms;
constexpr std::uint64_t kMaxSeeds = 16;
constexpr std::size_t kMaxParsedTexts = 1024;

std::vector<NodeAddress> RemoveNode(std::vector<NodeAddress> nodes,
                                    NodeAddress self) {
  std::erase(nodes, self);
  return nodes;
}

}  // namespace

TicketGossip::TicketGossip(Options options,
                           PeerTable& peers,
                           RandomSource& random)
    : options(std::move(options)),
      peers(peers),
      random(random),
      heartbeat_peers({.self = this->options.self,
                       .region = this->options.region,
                       .failure_domain = this->options.failure_domain}),
      initial_sync(RemoveNode(this->options.seeds, this->options.self)),
      membership(this->options.self, peers),
      schedule(random),
      pull(this->store),
      state(this->store.State()) {}

void TicketGossip::Start(Instant now, Actions& actions) {
  this->membership.Start(now);
  this->last_event = now;
  this->next_heartbeat = now;
  this->initial_sync.Start(now, this->random.Below(kMaxSeeds));
  this->schedule.DelayUntil(this->initial_sync.SeedDeadline());
  this->ContinueInitialSync(now, actions);
}

void TicketGossip::DetectFreeze(Instant now, Actions& actions) {
  const auto pause = now - this->last_event;
  this->last_event = now;
  if (pause <= kFreezeThreshold) {
    return;
  }
  this->membership.ResetAfterFreeze(now);
  this->next_heartbeat = now;
  if (this->store.IsEmpty()) {
    this->initial_sync.Start(now, this->random.Below(kMaxSeeds));
    return;
  }
  // Other nodes may have received a newer ticket meanwhile.
  this->initial_sync.QueryPeers(this->membership.IgnoresReportsUntil(),
                                this->heartbeat_peers.Peers());
  if (!this->initial_sync.IsDone()) {
    this->is_ready = false;
    this->ReportWait(actions);
  }
}

void TicketGossip::OnHeartbeat(Instant now,
                               const HeartbeatReceived& event,
                               Actions& actions) {
  this->DetectFreeze(now, actions);
  const auto& heartbeat = event.heartbeat;
  if (!this->membership.RecordHeartbeat(now, heartbeat)) {
    return;
  }
  this->HandleDigest(now, heartbeat.from, heartbeat.state_digest, actions);
  if (heartbeat.state_digest == this->store.State()->digest &&
      heartbeat.platform_age >= Duration{} &&
      heartbeat.platform_age < now - Instant{}) {
    const auto peer_confirmed_at = now - heartbeat.platform_age;
    this->confirmed_at = std::max(
        this->confirmed_at.value_or(peer_confirmed_at), peer_confirmed_at);
  }
}

void TicketGossip::OnDigestReceived(Instant now,
                                    const DigestReceived& event,
                                    Actions& actions) {
  this->DetectFreeze(now, actions);
  if (event.peer != this->options.self) {
    this->HandleDigest(now, event.peer, event.state_digest, actions);
  }
}

// One of the two nodes requests items: this node if the peer may have something
// newer, otherwise the peer, after it has received this node's digest.
void TicketGossip::HandleDigest(Instant now,
                                NodeAddress peer,
                                std::uint64_t digest,
                                Actions& actions) {
  const bool is_equal = digest == this->store.State()->digest;
  if (!this->store.Covers(digest)) {
    this->pull.AddCandidate(peer, digest);
    this->RequestNextItems(now, actions);
  } else if (!is_equal) {
    this->SendDigest(now, peer, actions);
  } else if (!this->is_ready && digest != 0 &&
             this->membership.AcceptsReports(now)) {
    // Only nodes that serve send a nonzero digest.
    this->initial_sync.Finish();
    this->ContinueInitialSync(now, actions);
  }
}

void TicketGossip::SendDigest(Instant now, NodeAddress peer, Actions& actions) {
  const auto digest = this->AdvertisedDigest();
  auto& last_sent = this->last_sent[peer];
  if (!this->is_ready || (last_sent.digest == digest &&
                          now - last_sent.instant < kDigestResendDelay)) {
    return;
  }
  last_sent = {.digest = digest, .instant = now};
  actions.push_back(
      SendHeartbeat{.to = peer, .heartbeat = this->MakeHeartbeat(now)});
}

void TicketGossip::RequestNextItems(Instant now, Actions& actions) {
  if (const auto peer = this->pull.NextRequest(now); peer) {
    actions.push_back(RequestTicketItems{
        .to = *peer, .have = VersionsOf(*this->store.State())});
  }
}

void TicketGossip::OnItemsRequested(Instant now,
                                    const TicketItemsRequested& event,
                                    Actions& actions) {
  this->DetectFreeze(now, actions);
  // A node that has never served may hold outdated items from a lagging
  // platform, so it sends none.
  const auto items = this->state->items.empty()
                         ? std::vector<TicketItemText>{}
                         : this->store.NewerThan(event.have);
  for (auto& message : SplitIntoMessages(items)) {
    actions.push_back(
        SendTicketItems{.to = event.from, .items = std::move(message)});
  }
  if (this->store.LacksAny(event.have)) {
    this->pull.AddCandidate(event.from, DigestOf(event.have));
    this->RequestNextItems(now, actions);
  }
}

void TicketGossip::OnItemsReceived(Instant now,
                                   const TicketItemsReceived& event,
                                   Actions& actions) {
  this->DetectFreeze(now, actions);
  this->Merge(now, event.items, actions);
  this->pull.RecordReply(now, event.from);
  this->initial_sync.RecordReply(now, event.from);
  if (!this->is_ready && !event.items.empty() && !this->store.IsEmpty() &&
      this->membership.AcceptsReports(now)) {
    // Only nodes that have served send items.
    this->initial_sync.Finish();
  }
  this->ContinueInitialSync(now, actions);
  this->RequestNextItems(now, actions);
}

void TicketGossip::OnTicketPublished(Instant now,
                                     const TicketPublished& event,
                                     Actions& actions) {
  this->DetectFreeze(now, actions);
  const auto hash = XXH64(event.text.data(), event.text.size(), 0);
  if (this->parsed_texts.size() >= kMaxParsedTexts) {
    this->parsed_texts.clear();
  }
  if (!this->parsed_texts.insert(hash).second) {
    return;
  }
  const auto ticket = ParseTicket(event.text);
  if (!ticket) {
    const auto& faults = ticket.error();
    actions.push_back(
        Report{.event = LogEvent::kTicketRefused,
               .subject = "line " + std::to_string(faults.front().line),
               .detail = faults.front().message + " (" +
                         std::to_string(faults.size()) +
                         " faults; run 'agaterun ticket check')"});
    return;
  }
  this->schedule.RecordTicket(now, ticket->number);
  this->Merge(now, ticket->items, actions);
}

void TicketGossip::Merge(Instant now,
                         const std::vector<TicketItemText>& items,
                         Actions& actions) {
  const auto result = this->store.Merge(items);
  for (const auto& name : result.conflicts) {
    actions.push_back(Report{
        .event = LogEvent::kTicketConflict,
        .subject = name,
        .detail = "two texts under number " +
                  std::to_string(this->store.State()->items.at(name).number)});
  }
  for (const auto& fault : result.faults) {
    actions.push_back(
        Report{.event = LogEvent::kTicketRefused, .detail = fault});
  }
  if (!result.has_changed) {
    return;
  }
  this->heartbeat_peers.Rebuild(*this->store.State());
  if (this->is_ready) {
    this->Publish(now, actions);
  } else if (this->initial_sync.CurrentPhase() != InitialSync::Phase::kPeers) {
    this->initial_sync.QueryPeers(now, this->heartbeat_peers.Peers());
  }
}

void TicketGossip::ContinueInitialSync(Instant now, Actions& actions) {
  if (this->is_ready) {
    return;
  }
  for (const auto peer : this->initial_sync.TakeDueQueries(now)) {
    actions.push_back(RequestTicketItems{
        .to = peer, .have = VersionsOf(*this->store.State())});
  }
  if (this->initial_sync.IsDone() && !this->store.IsEmpty()) {
    this->BecomeReady(now, actions);
  } else {
    this->ReportWait(actions);
  }
}

void TicketGossip::BecomeReady(Instant now, Actions& actions) {
  this->is_ready = true;
  this->reported_wait.clear();
  this->Publish(now, actions);
}

void TicketGossip::Publish(Instant now, Actions& actions) {
  std::string names;
  for (const auto& [name, item] : this->store.State()->items) {
    const auto before = this->state->items.find(name);
    if (before == this->state->items.end() ||
        before->second.number != item.number) {
      names += (names.empty() ? "" : ", ") + name + " " +
               std::to_string(item.number);
    }
  }
  this->state = this->store.State();
  actions.push_back(PublishState{.state = this->state});
  if (!names.empty()) {
    actions.push_back(
        Report{.event = LogEvent::kTicketInForce,
               .subject = std::to_string(this->store.HighestNumber()),
               .detail = std::move(names)});
  }
  // Notifies peers immediately. They request the items that they lack, so each
  // text is sent to each node about once although several peers announce it.
  for (const auto peer : this->heartbeat_peers.Peers()) {
    this->SendDigest(now, peer, actions);
  }
}

void TicketGossip::OnPlatformReadEnded(Instant now,
                                       const PlatformReadEnded& event,
                                       Actions& actions) {
  this->DetectFreeze(now, actions);
  this->schedule.RecordReadEnd(now, event.reached, event.last_number);
  if (event.reached) {
    this->confirmed_at = now;
  }
  if (this->platform_reached != event.reached) {
    const bool is_first = !this->platform_reached.has_value();
    this->platform_reached = event.reached;
    if (!event.reached || !is_first) {
      actions.push_back(
          Report{.event = event.reached ? LogEvent::kPlatformReached
                                        : LogEvent::kPlatformUnreachable,
                 .detail = "reader role " +
                           std::string(NameOf(kReaderRoleNames, this->role))});
    }
  }
  this->ContinueInitialSync(now, actions);
}

void TicketGossip::OnHostList(Instant now,
                              const HostListReceived& event,
                              Actions& actions) {
  this->DetectFreeze(now, actions);
  this->membership.RecordHostList(now, event.hosts);
}

void TicketGossip::OnTick(Instant now,
                          const LoadReport& load,
                          const QuarantinedFingerprints& quarantined,
                          Actions& actions) {
  this->DetectFreeze(now, actions);
  this->load = load;
  this->quarantined = quarantined;
  this->ContinueInitialSync(now, actions);
  this->RequestNextItems(now, actions);
  if (now >= this->next_heartbeat) {
    this->SendHeartbeats(now, actions);
  }
  this->ReadPlatformWhenDue(now, actions);
}

void TicketGossip::SendHeartbeats(Instant now, Actions& actions) {
  // Jitter keeps nodes that started together from sending together.
  const auto jitter = static_cast<std::int64_t>(this->random.Below(
      static_cast<std::uint64_t>((kHeartbeatInterval / 10).count())));
  this->next_heartbeat = now + kHeartbeatInterval - Duration(jitter);
  auto targets = this->heartbeat_peers.Peers();
  if (!this->is_ready) {
    const auto seeds = RemoveNode(this->options.seeds, this->options.self);
    targets.insert(targets.end(), seeds.begin(), seeds.end());
  }
  // One more random node of the fleet connects groups that the fixed links
  // leave separate.
  if (const auto& fleet = this->heartbeat_peers.Fleet(); !fleet.empty()) {
    targets.push_back(fleet[this->random.Below(fleet.size())]);
  }
  const auto heartbeat = this->MakeHeartbeat(now);
  for (const auto peer : targets) {
    this->last_sent[peer] = {.digest = heartbeat.state_digest, .instant = now};
    actions.push_back(SendHeartbeat{.to = peer, .heartbeat = heartbeat});
  }
}

void TicketGossip::BroadcastHeartbeat(
    Instant now,
    const LoadReport& load,
    const QuarantinedFingerprints& quarantined,
    Actions& actions) {
  this->DetectFreeze(now, actions);
  this->load = load;
  this->quarantined = quarantined;
  const auto heartbeat = this->MakeHeartbeat(now);
  for (const auto peer : this->heartbeat_peers.Fleet()) {
    actions.push_back(SendHeartbeat{.to = peer, .heartbeat = heartbeat});
  }
}

Heartbeat TicketGossip::MakeHeartbeat(Instant now) {
  return {.from = this->options.self,
          .incarnation = this->options.incarnation,
          .state_digest = this->AdvertisedDigest(),
          .load = this->load,
          .quarantined = this->quarantined,
          .platform_age =
              this->confirmed_at ? now - *this->confirmed_at : Duration::max(),
          .leaving_hints = this->membership.CollectHints(now)};
}

// A node that does not serve yet advertises no state, so that others don't
// request it.
std::uint64_t TicketGossip::AdvertisedDigest() const {
  return this->is_ready ? this->state->digest : 0;
}

void TicketGossip::ReadPlatformWhenDue(Instant now, Actions& actions) {
  const auto& seeds = this->options.seeds;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), this->options.self) != seeds.end();
  if (this->store.IsEmpty()) {
    this->role = is_seed ? ReaderRole::kStandby : ReaderRole::kNone;
  } else {
    this->role = SelectReaderRole(
        now, this->options.self, this->heartbeat_peers.ReaderCandidates(),
        this->peers, this->membership.ObservingSince());
  }
  this->schedule.Update(now, this->role, this->confirmed_at);
  if (const auto next_read = this->schedule.NextRead();
      next_read && *next_read <= now) {
    actions.push_back(
        this->schedule.StartRead(now, this->store.HighestNumber()));
  }
}

void TicketGossip::ReportWait(Actions& actions) {
  const auto reason =
      this->initial_sync.WaitReason(this->platform_reached.value_or(false));
  if (reason == this->reported_wait) {
    return;
  }
  this->reported_wait = reason;
  actions.push_back(Report{.event = LogEvent::kWaitingForState,
                           .subject = "waiting for",
                           .detail = std::string(reason)});
}

std::optional<Instant> TicketGossip::NextWake() const {
  auto next = this->next_heartbeat;
  for (const auto wake_time :
       {this->initial_sync.NextWake(), this->schedule.NextRead(),
        this->pull.Deadline()}) {
    next = wake_time ? std::min(next, *wake_time) : next;
  }
  return next;
}

}  // namespace agaterun::decision
