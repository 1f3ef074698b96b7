#include "libraries/routing/endpoint_chooser.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "libraries/base/freshness.h"

namespace agaterun::routing {

namespace {

using membership::FleetNode;

// After a lost attempt a node gets no attempts for some time, which doubles
// with each consecutive loss.
constexpr Duration kFirstSkip = 100ms;
constexpr Duration kLongestSkip = 1s;

// A node that has sent nothing for this long while attempts wait for its reply
// gets no more attempts until it sends something.
constexpr Duration kQuiet = 500ms;

// A node's report that it accepts no requests is valid for this long. Then a
// single request may probe it.
constexpr Duration kClosedTrusted = 1500ms;

// Weight of the expected wait in a queue. A queued request delays those behind
// it as well, and a free slot at another node stays unused.
constexpr double kQueueWeight = 2;

// Half-lives of the weights of reported load and reported failures.
constexpr Duration kLoadHalfLife = 500ms;
constexpr Duration kFailureHalfLife = 1500ms;

// Time that a failed request costs its caller, for comparison with waiting
// times.
constexpr double kFailureSeconds = 0.5;

// Failure ratios up to this one occur by random variation and are ignored.
constexpr double kUsualFailures = 0.05;

// Costs of another failure domain. A request stays in its failure domain while
// that can serve it in time: another one costs traffic and a longer network
// path in both directions, and a failure domain that depends on others fails
// with them. The first cost is in seconds, the second in mean service times, so
// that random differences between endpoints don't move requests away.
constexpr double kOtherDomainSeconds = 0.015;
constexpr double kOtherDomainParts = 0.35;

// Cost of traffic between failure domains: the additional time that a caller
// waits for a response from its own failure domain to save the traffic, and the
// limit of that time as a fraction of the target latency.
constexpr double kSecondsPerByte = 20e-6;
constexpr double kNearnessOfTarget = 0.08;

// Weight of a node's utilization, in service times. The cost grows with the
// fourth power of the utilization, so that requests move to other nodes when a
// node is nearly full and not before.
constexpr double kFillWeight = 0.8;

// If there are many endpoints, the best one of a random sample is chosen. Load
// reports are always some time old, and otherwise all origins would choose the
// same endpoint.
constexpr std::size_t kMostCompared = 6;
constexpr std::size_t kDrawnInDomain = 4;

// Assumed utilization of a node without a recent report, relative to the mean
// of the other nodes.
constexpr double kUnknownLoad = 0.5;

constexpr double kDefaultServiceSeconds = 0.05;

// Approximate slowdown of a cold backend server.
constexpr double kColdFactor = 2;

// Random relative deviation that is added to each cost, so that origins with
// the same load reports don't all choose the same node.
constexpr double kNoise = 0.1;

double LimitOf(const FleetNode& node) {
  return node.load_reported_at && node.load.limit > 0
             ? static_cast<double>(node.load.limit)
             : static_cast<double>(node.slots);
}

// Estimated number of requests at the node, queued ones included. `usual_use`
// is the mean utilization of nodes with recent load reports.
double PresentAt(Instant now, const FleetNode& node, double usual_use) {
  double present = kUnknownLoad * usual_use * LimitOf(node);
  if (node.load_reported_at) {
    const double fresh = Freshness(now - *node.load_reported_at, kLoadHalfLife);
    const double told = node.load.running + node.load.queued;
    present = fresh * told + (1 - fresh) * present;
  }
  return std::max<double>(present + node.sent_since_report, node.in_flight);
}

// Reduces `nodes` to a random sample of at most `count` nodes.
void Draw(std::vector<const FleetNode*>& nodes,
          std::size_t count,
          RandomSource& random) {
  count = std::min(count, nodes.size());
  for (std::size_t drawn = 0; drawn < count; ++drawn) {
    const auto other = drawn + random.Below(nodes.size() - drawn);
    std::swap(nodes[drawn], nodes[other]);
  }
  nodes.resize(count);
}

double TransferSeconds(const EndpointChooser::Query& query) {
  return std::min(kSecondsPerByte * query.response_bytes,
                  kNearnessOfTarget * ToSeconds(query.target_latency));
}

}  // namespace

bool EndpointChooser::MayUse(Instant now, const FleetNode& node) const {
  const bool is_self = node.node == this->options.self;
  if (node.load_reported_at && (node.load.leaving || !node.load.backend_up)) {
    if (is_self || now - *node.load_reported_at < kClosedTrusted ||
        node.in_flight > 0) {
      return false;
    }
  }
  if (node.listed_as_leaving) {
    return false;
  }
  if (!node.listed && !node.load_reported_at) {
    return false;
  }
  if (node.in_flight > 0 && !is_self && now - node.waiting_since > kQuiet) {
    return false;
  }
  if (!this->IsReachable(now, node)) {
    // A single attempt at a time probes whether the node is reachable again.
    constexpr int kMostDoublings = 5;
    const auto skip =
        node.losses == 0
            ? Duration{}
            : std::min(kLongestSkip,
                       kFirstSkip *
                           (1 << std::min(node.losses - 1, kMostDoublings)));
    return now - node.last_loss > skip && node.in_flight == 0;
  }
  return true;
}

bool EndpointChooser::IsReachable(Instant now, const FleetNode& node) const {
  if (node.node == this->options.self) {
    return true;
  }
  if (!node.HasContactSinceLoss()) {
    return false;
  }
  return !node.last_contact ||
         now - *node.last_contact < this->fleet.ContactTimeout(node);
}

EndpointChooser::Usual EndpointChooser::UsualOf(
    Instant now,
    std::span<const FleetNode* const> nodes) const {
  double service = 0;
  double use = 0;
  double weight = 0;
  int count = 0;
  for (const auto* node : nodes) {
    if (!node->load_reported_at) {
      continue;
    }
    if (node->load.service_time > Duration{}) {
      service += ToSeconds(node->load.service_time);
      ++count;
    }
    const double fresh = Freshness(now - *node->load_reported_at, kLoadHalfLife);
    use += fresh * (node->load.running + node->load.queued) / LimitOf(*node);
    weight += fresh;
  }
  return {
      .service_seconds = count > 0 ? service / count : kDefaultServiceSeconds,
      .use = weight > 0 ? use / weight : 0};
}

double EndpointChooser::CostOf(Instant now,
                               const FleetNode& node,
                               const Usual& usual) const {
  double service = usual.service_seconds;
  if (node.load_reported_at && node.load.slowness > 0) {
    service *= node.load.slowness;
  } else if (now < node.cold_until) {
    service *= kColdFactor;
  }
  const double limit = std::max(1.0, LimitOf(node));
  const double present = PresentAt(now, node, usual.use);
  const double ahead = std::max(0.0, present + 1 - limit);
  double cost = service + kQueueWeight * ahead * service / limit;
  // Near the limit, a request of another origin may take the free slot first.
  const double use = std::min(1.0, present / limit);
  cost += service * use * use * use * use * kFillWeight;
  const double failing = std::max(
      node.failure_share * Freshness(now - node.failure_share_updated_at, kFailureHalfLife),
      node.load_reported_at ? node.load.failure_share *
                           Freshness(now - *node.load_reported_at, kFailureHalfLife)
                     : 0.0);
  cost += std::max(0.0, failing - kUsualFailures) * kFailureSeconds;
  if (!this->IsInOwnDomain(node)) {
    cost += kOtherDomainSeconds + kOtherDomainParts * usual.service_seconds;
  }
  // A queue in this failure domain costs the same, so that no request waits for
  // a slot there only to save traffic.
  if (!this->IsInOwnDomain(node) || ahead > 0) {
    cost += usual.transfer_seconds;
  }
  return cost;
}

std::vector<const FleetNode*> EndpointChooser::Candidates(
    Instant now,
    std::span<FleetNode* const> nodes,
    std::span<const NodeAddress> excluded,
    std::optional<double> room_at_use) {
  std::vector<const FleetNode*> usable;
  for (const auto* node : nodes) {
    const bool was_tried = std::find(excluded.begin(), excluded.end(),
                                     node->node) != excluded.end();
    const bool is_full =
        room_at_use && PresentAt(now, *node, *room_at_use) >= LimitOf(*node);
    if (!was_tried && !is_full && this->MayUse(now, *node)) {
      usable.push_back(node);
    }
  }
  if (usable.size() <= kMostCompared) {
    return usable;
  }
  const auto elsewhere = std::partition(
      usable.begin(), usable.end(),
      [this](const FleetNode* node) { return this->IsInOwnDomain(*node); });
  std::vector<const FleetNode*> far(elsewhere, usable.end());
  usable.erase(elsewhere, usable.end());
  Draw(usable, kDrawnInDomain, this->random);
  Draw(far, kMostCompared - usable.size(), this->random);
  usable.insert(usable.end(), far.begin(), far.end());
  return usable;
}

std::optional<NodeAddress> EndpointChooser::Choose(Instant now,
                                                   const Query& query) {
  const auto nodes = this->fleet.NodesOf(query.service);
  const std::vector<const FleetNode*> all(nodes.begin(), nodes.end());
  auto usual = this->UsualOf(now, all);
  usual.transfer_seconds = TransferSeconds(query);
  const FleetNode* best = nullptr;
  double least = 0;
  for (const auto* node : this->Candidates(
           now, nodes, query.excluded,
           query.needs_free_slot ? std::optional(usual.use) : std::nullopt)) {
    const double cost =
        this->CostOf(now, *node, usual) * (1 + kNoise * this->random.Unit());
    if (best == nullptr || cost < least) {
      best = node;
      least = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->node;
}

double EndpointChooser::FailureShare(Instant now, std::string_view service) {
  double sum = 0;
  int count = 0;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->MayUse(now, *node) && node->load_reported_at) {
      sum += node->load.failure_share;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

double EndpointChooser::UtilizationOf(Instant now, std::string_view service) {
  std::vector<const FleetNode*> usable;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->MayUse(now, *node)) {
      usable.push_back(node);
    }
  }
  return this->UsualOf(now, usable).use;
}

double EndpointChooser::UsableSlots(Instant now, std::string_view service) {
  double slots = 0;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->MayUse(now, *node) && this->IsReachable(now, *node)) {
      slots += LimitOf(*node);
    }
  }
  return slots;
}

}  // namespace agaterun::routing
