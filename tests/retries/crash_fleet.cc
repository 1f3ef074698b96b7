#include "tests/retries/crash_fleet.h"

#include <algorithm>

namespace agaterun::retries {

namespace {

constexpr Duration kStep = 10ms;
constexpr Duration kHeartbeatInterval = 300ms;
constexpr Duration kWork = 150ms;
constexpr Duration kWorkUntilCrash = 20ms;
constexpr Duration kEndpointRestart = 3s;
constexpr Duration kContact = 3s;
constexpr double kRequestsPerStep = 0.1;  // Of each node and kind.
constexpr int kFirstCrashes = 3;

constexpr std::uint64_t kPopular = 1;
constexpr std::uint64_t kCrashing = 2;

NodeAddress AddressOf(std::size_t index) {
  return {.ip = static_cast<std::uint32_t>(index + 1), .port = 7300};
}

}  // namespace

CrashFleet::CrashFleet(Options options)
    : options(options), random(options.seed), next_crashing(this->now) {
  for (std::size_t index = 0; index < static_cast<std::size_t>(options.nodes);
       ++index) {
    this->nodes.push_back({.history = CrashHistory(AddressOf(index))});
  }
}

void CrashFleet::AdvanceTo(Instant end) {
  while (this->now < end) {
    this->now += kStep;
    this->Step();
  }
}

void CrashFleet::Step() {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    auto& node = this->nodes[index];
    node.is_up |= node.up_at <= this->now;
    this->EndRequests(index);
    if (this->random.Unit() < kRequestsPerStep) {
      this->SendFrom(index, kPopular);
    }
    if (this->random.Unit() < kRequestsPerStep) {
      this->SendFrom(index, this->next_id++);
    }
  }
  if (this->options.crashing_interval > Duration{} &&
      this->now >= this->next_crashing) {
    this->next_crashing = this->now + this->options.crashing_interval;
    this->SendFrom(this->random.Below(this->nodes.size()), kCrashing);
  }
  if (this->now >= this->next_heartbeats) {
    this->next_heartbeats = this->now + kHeartbeatInterval;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      this->SendHeartbeat(index);
    }
  }
}

std::vector<NodeAddress> CrashFleet::Endpoints() const {
  std::vector<NodeAddress> endpoints;
  for (std::size_t index = 0;
       index < static_cast<std::size_t>(this->options.endpoints); ++index) {
    endpoints.push_back(AddressOf(index));
  }
  return endpoints;
}

std::optional<std::size_t> CrashFleet::ChooseEndpoint(
    const CrashHistory& origin,
    std::uint64_t fingerprint) {
  const auto trial =
      origin.TrialNode(this->now, fingerprint, this->Endpoints());
  if (trial) {
    return trial->ip - 1;
  }
  if (origin.IsQuarantined(this->now, fingerprint)) {
    return std::nullopt;
  }
  std::vector<std::size_t> usable;
  for (std::size_t index = 0;
       index < static_cast<std::size_t>(this->options.endpoints); ++index) {
    if (this->nodes[index].is_up) {
      usable.push_back(index);
    }
  }
  if (usable.empty()) {
    return std::nullopt;
  }
  return usable[this->random.Below(usable.size())];
}

bool CrashFleet::IsAcceptedBy(const Node& node,
                              std::uint64_t fingerprint) const {
  if (!node.is_up) {
    return false;
  }
  if (!node.history.IsQuarantined(this->now, fingerprint)) {
    return true;
  }
  const bool is_running = std::any_of(
      node.running.begin(), node.running.end(), [&](const Running& request) {
        return request.fingerprint == fingerprint;
      });
  return node.history.TrialNode(this->now, fingerprint, this->Endpoints()) ==
             node.history.Self() &&
         !is_running;
}

void CrashFleet::SendFrom(std::size_t origin, std::uint64_t fingerprint) {
  const auto& history = this->nodes[origin].history;
  const bool is_popular = fingerprint == kPopular;
  this->popular.sent += is_popular ? 1 : 0;
  const auto target = this->ChooseEndpoint(history, fingerprint);
  if (!target || !this->IsAcceptedBy(this->nodes[*target], fingerprint)) {
    const bool is_quarantined = history.IsQuarantined(this->now, fingerprint);
    this->popular.quarantined += is_popular && is_quarantined ? 1 : 0;
    return;
  }
  const bool is_crashing = fingerprint == kCrashing;
  if (is_crashing && this->crashes_caused >= kFirstCrashes &&
      this->now - this->third_crash > kContact) {
    this->late_retries += 1;
  }
  this->nodes[*target].running.push_back(
      {.fingerprint = fingerprint,
       .origin = origin,
       .ends_at = this->now + (is_crashing ? kWorkUntilCrash : kWork)});
}

void CrashFleet::EndRequests(std::size_t index) {
  auto& running = this->nodes[index].running;
  for (std::size_t place = 0; place < running.size();) {
    const auto request = running[place];
    if (request.ends_at > this->now) {
      ++place;
      continue;
    }
    if (request.fingerprint == kCrashing) {
      this->crashes_caused += 1;
      if (this->crashes_caused == kFirstCrashes) {
        this->third_crash = this->now;
      }
      this->Crash(index);
      return;
    }
    running.erase(running.begin() + static_cast<std::ptrdiff_t>(place));
    this->nodes[index].history.RecordCompletion(this->now, request.fingerprint);
    this->nodes[request.origin].history.RecordCompletion(this->now,
                                                         request.fingerprint);
    this->popular.served += request.fingerprint == kPopular ? 1 : 0;
  }
}

void CrashFleet::Crash(std::size_t index) {
  auto& node = this->nodes[index];
  if (!node.is_up) {
    return;
  }
  // Exchanges break before and after the crash is noticed.
  const auto before = this->random.Below(node.running.size() + 1);
  for (std::size_t place = 0; place < node.running.size(); ++place) {
    if (place == before) {
      node.history.RecordLocalCrash(this->now, this->next_id++);
    }
    node.history.RecordBrokenExchange(this->now,
                                      node.running[place].fingerprint);
  }
  if (before >= node.running.size()) {
    node.history.RecordLocalCrash(this->now, this->next_id++);
  }
  node.running.clear();
  node.is_up = false;
  node.up_at = this->now + kEndpointRestart;
  this->last_crash = this->now;
  this->SendHeartbeat(index);
}

void CrashFleet::CrashEndpoints(int count) {
  const auto endpoints = static_cast<std::size_t>(this->options.endpoints);
  const auto first = this->random.Below(endpoints);
  for (std::size_t place = 0; place < static_cast<std::size_t>(count);
       ++place) {
    this->Crash((first + place) % endpoints);
  }
}

void CrashFleet::RestartNode() {
  const auto index = this->random.Below(this->nodes.size());
  this->nodes[index].history = CrashHistory(AddressOf(index));
  this->nodes[index].running.clear();
}

void CrashFleet::SendHeartbeat(std::size_t from) {
  auto& sender = this->nodes[from].history;
  const auto crashes = sender.HeartbeatEntries(this->now);
  const auto cleared = sender.ClearedRequests(this->now);
  const auto convictions = sender.Convictions(this->now);
  const double part =
      this->options.heartbeat_targets == 0
          ? 1
          : static_cast<double>(this->options.heartbeat_targets) /
                static_cast<double>(this->nodes.size());
  const double chance = part * (1 - this->options.lost_heartbeats);
  for (std::size_t to = 0; to < this->nodes.size(); ++to) {
    if (to == from || this->random.Unit() >= chance) {
      continue;
    }
    auto& receiver = this->nodes[to].history;
    for (const auto& crash : crashes) {
      receiver.RecordReportedCrash(this->now, AddressOf(from), crash);
    }
    for (const auto& [fingerprint, remaining] : convictions) {
      receiver.RecordReportedConviction(this->now, fingerprint, remaining);
    }
    for (const auto fingerprint : cleared) {
      receiver.RecordCompletion(this->now, fingerprint);
    }
  }
}

void CrashFleet::PlayRandomFaults(Instant end) {
  while (this->now < end) {
    const Duration pause =
        500ms + 10ms * static_cast<int>(this->random.Below(500));
    this->AdvanceTo(std::min(end, this->now + pause));
    if (this->random.Unit() < 0.2) {
      this->RestartNode();
      continue;
    }
    const auto endpoints = static_cast<std::uint64_t>(this->options.endpoints);
    this->CrashEndpoints(static_cast<int>(1 + this->random.Below(endpoints)));
  }
}

CrashFleet::Popular CrashFleet::TakePopular() {
  const auto taken = this->popular;
  this->popular = {};
  return taken;
}

}  // namespace agaterun::retries
