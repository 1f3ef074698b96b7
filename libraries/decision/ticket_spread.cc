#include "libraries/decision/ticket_spread.h"

#include "libraries/decision/ticket.h"

namespace agaterun::decision {

namespace {

constexpr Duration kReadInterval = 1s;

}  // namespace

TicketSpread::TicketSpread(Options options,
                           PeerTable& peers,
                           RandomSource& random)
    : options(std::move(options)),
      peers(peers),
      random(random),
      state(std::make_shared<TicketState>()) {}

void TicketSpread::Start(Instant now, Actions& /*actions*/) {
  this->next_read = now;
}

// FIXME: Every node reads the platform by itself; readers are to be ranked.
void TicketSpread::OnTick(
    Instant now,
    const LoadReport& /*load*/,
    const std::vector<std::pair<std::uint64_t, Duration>>& /*convicted*/,
    Actions& actions) {
  if (this->next_read && *this->next_read <= now) {
    this->next_read.reset();
    actions.push_back(ReadPlatform{.after_number = this->last_number});
  }
}

void TicketSpread::Announce(
    Instant /*now*/,
    const LoadReport& /*load*/,
    const std::vector<std::pair<std::uint64_t, Duration>>& /*convicted*/,
    Actions& /*actions*/) {}

void TicketSpread::OnHeartbeat(Instant now,
                               const HeartbeatReceived& event,
                               Actions& /*actions*/) {
  this->peers.ReportHeartbeat(now, event.heartbeat);
}

void TicketSpread::OnDigestSeen(Instant /*now*/,
                                const DigestSeen& /*event*/,
                                Actions& /*actions*/) {}

void TicketSpread::OnItemsReceived(Instant /*now*/,
                                   const TicketItemsReceived& event,
                                   Actions& actions) {
  this->Apply(event.items, actions);
}

void TicketSpread::OnItemsWanted(Instant /*now*/,
                                 const TicketItemsWanted& /*event*/,
                                 Actions& /*actions*/) {}

void TicketSpread::OnTicketPublished(Instant /*now*/,
                                     const TicketPublished& event,
                                     Actions& actions) {
  const auto ticket = ParseTicket(event.text);
  if (!ticket) {
    actions.push_back(Report{.event = LogEvent::kTicketRefused,
                             .detail = ticket.error().front().message});
    return;
  }
  this->Apply(ticket->items, actions);
}

void TicketSpread::Apply(const std::vector<TicketItemText>& items,
                         Actions& actions) {
  std::vector<TicketItem> parsed;
  for (const auto& item : items) {
    auto result = ParseTicketItem(item);
    if (!result) {
      return;
    }
    parsed.push_back(std::move(*result));
  }
  std::vector<std::string> conflicts;
  auto merged = MergeTicketItems(this->state, parsed, conflicts);
  if (merged == this->state) {
    return;
  }
  this->state = std::move(merged);
  this->ready = true;
  actions.push_back(PublishState{.state = this->state});
}

void TicketSpread::OnPlatformReadEnded(Instant now,
                                       const PlatformReadEnded& event,
                                       Actions& /*actions*/) {
  if (event.reached) {
    this->last_number = event.last_number;
  }
  this->next_read = now + kReadInterval;
}

void TicketSpread::OnHostList(Instant /*now*/,
                              const HostListReceived& event,
                              Actions& /*actions*/) {
  for (const auto& host : event.hosts) {
    this->peers.At(host.node).listed_as_leaving = host.leaving;
  }
}

std::optional<Instant> TicketSpread::NextWake() const {
  return this->next_read;
}

}  // namespace agaterun::decision
