#include "libraries/decision/ticket_spread.h"

#include <xxhash.h>

#include <algorithm>

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

namespace {

constexpr Duration kHeartbeatInterval = 300ms;
// Ticks come with every heartbeat; ten missed ones mean a frozen process.
constexpr Duration kFrozenAfter = 3s;
constexpr Duration kTellAgain = 200ms;
constexpr std::uint64_t kMostSeeds = 16;
constexpr std::size_t kSeenTexts = 1024;

std::vector<NodeAddress> Without(std::vector<NodeAddress> nodes,
                                 NodeAddress self) {
  std::erase(nodes, self);
  return nodes;
}

}  // namespace

TicketSpread::TicketSpread(Options options,
                           PeerTable& peers,
                           RandomSource& random)
    : options(std::move(options)),
      peers(peers),
      random(random),
      graph({.self = this->options.self,
             .region = this->options.region,
             .failure_domain = this->options.failure_domain}),
      learning(Without(this->options.seeds, this->options.self)),
      membership(this->options.self, peers),
      schedule(random),
      pull(this->store),
      state(this->store.State()) {}

void TicketSpread::Start(Instant now, Actions& actions) {
  this->membership.Start(now);
  this->last_event = now;
  this->next_heartbeat = now;
  this->learning.Start(now, this->random.Below(kMostSeeds));
  this->schedule.HoldUntil(this->learning.PatienceEnd());
  this->Learn(now, actions);
}

void TicketSpread::NoticeTime(Instant now, Actions& actions) {
  const auto silence = now - this->last_event;
  this->last_event = now;
  if (silence <= kFrozenAfter) {
    return;
  }
  this->membership.Relearn(now);
  this->next_heartbeat = now;
  if (this->store.IsEmpty()) {
    this->learning.Start(now, this->random.Below(kMostSeeds));
    return;
  }
  // The others may have gone on to a newer ticket meanwhile.
  this->learning.AskPeers(this->membership.DeafUntil(), this->graph.Peers());
  if (!this->learning.IsDone()) {
    this->ready = false;
    this->ReportWaiting(actions);
  }
}

void TicketSpread::OnHeartbeat(Instant now,
                               const HeartbeatReceived& event,
                               Actions& actions) {
  this->NoticeTime(now, actions);
  const auto& heartbeat = event.heartbeat;
  if (!this->membership.NoteHeartbeat(now, heartbeat)) {
    return;
  }
  this->OnDigest(now, heartbeat.from, heartbeat.state_digest, actions);
  if (heartbeat.state_digest == this->store.State()->digest &&
      heartbeat.platform_age >= Duration{} &&
      heartbeat.platform_age < now - Instant{}) {
    const auto seen = now - heartbeat.platform_age;
    this->confirmed = std::max(this->confirmed.value_or(seen), seen);
  }
}

void TicketSpread::OnDigestReceived(Instant now,
                                    const DigestReceived& event,
                                    Actions& actions) {
  this->NoticeTime(now, actions);
  if (event.peer != this->options.self) {
    this->OnDigest(now, event.peer, event.state_digest, actions);
  }
}

// One of both sides asks: this node when the peer may have something newer,
// else the peer, once it is told.
void TicketSpread::OnDigest(Instant now,
                            NodeAddress peer,
                            std::uint64_t digest,
                            Actions& actions) {
  const bool is_equal = digest == this->store.State()->digest;
  if (!this->store.Covers(digest)) {
    this->pull.Offer(peer, digest);
    this->Pull(now, actions);
  } else if (!is_equal) {
    this->Tell(now, peer, actions);
  } else if (!this->ready && digest != 0 && this->membership.Listens(now)) {
    // Only nodes that serve tell a digest.
    this->learning.Finish();
    this->Learn(now, actions);
  }
}

void TicketSpread::Tell(Instant now, NodeAddress peer, Actions& actions) {
  const auto digest = this->AdvertisedDigest();
  auto& told = this->told[peer];
  if (!this->ready ||
      (told.digest == digest && now - told.instant < kTellAgain)) {
    return;
  }
  told = {.digest = digest, .instant = now};
  actions.push_back(
      SendHeartbeat{.to = peer, .heartbeat = this->MakeHeartbeat(now)});
}

void TicketSpread::Pull(Instant now, Actions& actions) {
  if (const auto peer = this->pull.Next(now); peer) {
    actions.push_back(RequestTicketItems{
        .to = *peer, .have = VersionsOf(*this->store.State())});
  }
}

void TicketSpread::OnItemsWanted(Instant now,
                                 const TicketItemsRequested& event,
                                 Actions& actions) {
  this->NoticeTime(now, actions);
  // A node that never served may hold what a lagging platform gave it.
  const auto items = this->state->items.empty()
                         ? std::vector<TicketItemText>{}
                         : this->store.NewerThan(event.have);
  for (auto& message : SplitIntoMessages(items)) {
    actions.push_back(
        SendTicketItems{.to = event.from, .items = std::move(message)});
  }
  if (this->store.Lacks(event.have)) {
    this->pull.Offer(event.from, DigestOf(event.have));
    this->Pull(now, actions);
  }
}

void TicketSpread::OnItemsReceived(Instant now,
                                   const TicketItemsReceived& event,
                                   Actions& actions) {
  this->NoticeTime(now, actions);
  this->Merge(now, event.items, actions);
  this->pull.Answered(now, event.from);
  this->learning.Answered(now, event.from);
  if (!this->ready && !event.items.empty() && !this->store.IsEmpty() &&
      this->membership.Listens(now)) {
    // Only nodes that have served hand out items.
    this->learning.Finish();
  }
  this->Learn(now, actions);
  this->Pull(now, actions);
}

void TicketSpread::OnTicketPublished(Instant now,
                                     const TicketPublished& event,
                                     Actions& actions) {
  this->NoticeTime(now, actions);
  const auto hash = XXH64(event.text.data(), event.text.size(), 0);
  if (this->seen_texts.size() >= kSeenTexts) {
    this->seen_texts.clear();
  }
  if (!this->seen_texts.insert(hash).second) {
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
  this->schedule.Published(now, ticket->number);
  this->Merge(now, ticket->items, actions);
}

void TicketSpread::Merge(Instant now,
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
  if (!result.changed) {
    return;
  }
  this->graph.Rebuild(*this->store.State());
  if (this->ready) {
    this->Publish(now, actions);
  } else if (this->learning.CurrentPhase() != Learning::Phase::kPeers) {
    this->learning.AskPeers(now, this->graph.Peers());
  }
}

void TicketSpread::Learn(Instant now, Actions& actions) {
  if (this->ready) {
    return;
  }
  for (const auto peer : this->learning.Step(now)) {
    actions.push_back(RequestTicketItems{
        .to = peer, .have = VersionsOf(*this->store.State())});
  }
  if (this->learning.IsDone() && !this->store.IsEmpty()) {
    this->BecomeReady(now, actions);
  } else {
    this->ReportWaiting(actions);
  }
}

void TicketSpread::BecomeReady(Instant now, Actions& actions) {
  this->ready = true;
  this->reported_waiting.clear();
  this->Publish(now, actions);
}

void TicketSpread::Publish(Instant now, Actions& actions) {
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
  // Peers are told at once and ask for what they lack, which moves each text
  // to each node about once, though the news comes from several sides.
  for (const auto peer : this->graph.Peers()) {
    this->Tell(now, peer, actions);
  }
}

void TicketSpread::OnPlatformReadEnded(Instant now,
                                       const PlatformReadEnded& event,
                                       Actions& actions) {
  this->NoticeTime(now, actions);
  this->schedule.Ended(now, event.reached, event.last_number);
  if (event.reached) {
    this->confirmed = now;
  }
  if (this->platform_reached != event.reached) {
    const bool is_first = !this->platform_reached.has_value();
    this->platform_reached = event.reached;
    if (!event.reached || !is_first) {
      actions.push_back(Report{
          .event = event.reached ? LogEvent::kPlatformReached
                                 : LogEvent::kPlatformUnreachable,
          .detail =
              "reads as " + std::string(NameOf(kReaderRoleNames, this->role))});
    }
  }
  this->Learn(now, actions);
}

void TicketSpread::OnHostList(Instant now,
                              const HostListReceived& event,
                              Actions& actions) {
  this->NoticeTime(now, actions);
  this->membership.NoteHostList(now, event.hosts);
}

void TicketSpread::OnTick(Instant now,
                          const LoadReport& load,
                          const Convicted& quarantined,
                          Actions& actions) {
  this->NoticeTime(now, actions);
  this->load = load;
  this->quarantined = quarantined;
  this->Learn(now, actions);
  this->Pull(now, actions);
  if (now >= this->next_heartbeat) {
    this->SendHeartbeats(now, actions);
  }
  this->ReadPlatformWhenDue(now, actions);
}

void TicketSpread::SendHeartbeats(Instant now, Actions& actions) {
  // Jitter keeps nodes that started together from sending together.
  const auto jitter = static_cast<std::int64_t>(this->random.Below(
      static_cast<std::uint64_t>((kHeartbeatInterval / 10).count())));
  this->next_heartbeat = now + kHeartbeatInterval - Duration(jitter);
  auto targets = this->graph.Peers();
  if (!this->ready) {
    const auto seeds = Without(this->options.seeds, this->options.self);
    targets.insert(targets.end(), seeds.begin(), seeds.end());
  }
  // One more, anywhere, joins whatever parts the fixed links leave apart.
  if (const auto& fleet = this->graph.Fleet(); !fleet.empty()) {
    targets.push_back(fleet[this->random.Below(fleet.size())]);
  }
  const auto heartbeat = this->MakeHeartbeat(now);
  for (const auto peer : targets) {
    this->told[peer] = {.digest = heartbeat.state_digest, .instant = now};
    actions.push_back(SendHeartbeat{.to = peer, .heartbeat = heartbeat});
  }
}

void TicketSpread::Announce(Instant now,
                            const LoadReport& load,
                            const Convicted& quarantined,
                            Actions& actions) {
  this->NoticeTime(now, actions);
  this->load = load;
  this->quarantined = quarantined;
  const auto heartbeat = this->MakeHeartbeat(now);
  for (const auto peer : this->graph.Fleet()) {
    actions.push_back(SendHeartbeat{.to = peer, .heartbeat = heartbeat});
  }
}

Heartbeat TicketSpread::MakeHeartbeat(Instant now) {
  return {.from = this->options.self,
          .incarnation = this->options.incarnation,
          .state_digest = this->AdvertisedDigest(),
          .load = this->load,
          .quarantined = this->quarantined,
          .platform_age =
              this->confirmed ? now - *this->confirmed : Duration::max(),
          .leaving_hints = this->membership.CollectHints(now)};
}

// A node that does not serve yet tells nothing that others should ask for.
std::uint64_t TicketSpread::AdvertisedDigest() const {
  return this->ready ? this->state->digest : 0;
}

void TicketSpread::ReadPlatformWhenDue(Instant now, Actions& actions) {
  const auto& seeds = this->options.seeds;
  const bool is_seed =
      std::find(seeds.begin(), seeds.end(), this->options.self) != seeds.end();
  if (this->store.IsEmpty()) {
    this->role = is_seed ? ReaderRole::kStandby : ReaderRole::kNone;
  } else {
    this->role =
        RankReader(now, this->options.self, this->graph.ReaderCandidates(),
                   this->peers, this->membership.ListeningSince());
  }
  this->schedule.Update(now, this->role, this->confirmed);
  if (const auto due = this->schedule.Due(); due && *due <= now) {
    actions.push_back(this->schedule.Take(now, this->store.HighestNumber()));
  }
}

void TicketSpread::ReportWaiting(Actions& actions) {
  const auto what =
      this->learning.WaitingFor(this->platform_reached.value_or(false));
  if (what == this->reported_waiting) {
    return;
  }
  this->reported_waiting = what;
  actions.push_back(Report{.event = LogEvent::kWaitingForState,
                           .subject = "waits for",
                           .detail = std::string(what)});
}

std::optional<Instant> TicketSpread::NextWake() const {
  auto next = this->next_heartbeat;
  for (const auto wake : {this->learning.NextWake(), this->schedule.Due(),
                          this->pull.Deadline()}) {
    next = wake ? std::min(next, *wake) : next;
  }
  return next;
}

}  // namespace agaterun::decision
