#include "libraries/routing/endpoint_chooser.h"

#include <algorithm>

#include "libraries/base/freshness.h"

namespace agaterun::routing {

namespace {

using membership::FleetNode;

// After a lost attempt a node is left alone, longer with each loss in a row.
constexpr Duration kFirstSkip = 100ms;
constexpr Duration kLongestSkip = 1s;

// A node that said nothing for this long while attempts wait there gets no
// more before it speaks again.
constexpr Duration kQuiet = 500ms;

// The word of a node that it takes no work counts this long; then one request
// may find out.
constexpr Duration kClosedTrusted = 1500ms;

// A request that waits makes those behind it wait as well, while a free slot
// elsewhere would be lost.
constexpr double kQueueWeight = 2;

// What was told of load and failures fades.
constexpr Duration kLoadHalfLife = 500ms;
constexpr Duration kFailureHalfLife = 1500ms;

// Time that a failed request costs its caller, against which waiting is
// weighed.
constexpr double kFailureSeconds = 0.5;

// A share of failures that chance alone brings about says nothing.
constexpr double kUsualFailures = 0.05;

// Requests between failure domains cost bytes, and two ways more.
constexpr double kOtherDomainSeconds = 0.015;

constexpr double kDefaultServiceSeconds = 0.05;

// A cold backend server is slow by about this factor.
constexpr double kColdFactor = 2;

// Costs are compared with this noise, so that nodes that know the same do not
// all choose the same.
constexpr double kNoise = 0.1;

double LimitOf(const FleetNode& node) {
  return node.load_told && node.load.limit > 0
             ? static_cast<double>(node.load.limit)
             : static_cast<double>(node.slots);
}

// Requests at the node, queued ones included.
double PresentAt(Instant now, const FleetNode& node) {
  double told = 0;
  if (node.load_told) {
    told = static_cast<double>(node.load.running + node.load.queued) *
           Freshness(now - *node.load_told, kLoadHalfLife);
  }
  return std::max<double>(told + node.sent_since_told, node.in_flight);
}

}  // namespace

bool EndpointChooser::MayUse(Instant now, const FleetNode& node) const {
  const bool is_self = node.node == this->options.self;
  if (node.load_told && (node.load.leaving || !node.load.backend_up)) {
    if (is_self || now - *node.load_told < kClosedTrusted ||
        node.in_flight > 0) {
      return false;
    }
  }
  if (node.listed_as_leaving) {
    return false;
  }
  if (!node.listed && !node.load_told) {
    return false;
  }
  if (node.in_flight > 0 && !is_self && now - node.waiting_since > kQuiet) {
    return false;
  }
  if (!this->IsReachable(now, node)) {
    // One attempt at a time finds out whether it is back.
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
  if (node.losses > 0 &&
      (!node.last_heard || *node.last_heard <= node.last_loss)) {
    return false;
  }
  return !node.last_heard ||
         now - *node.last_heard < this->fleet.LongestPause();
}

double EndpointChooser::CostOf(Instant now,
                               const FleetNode& node,
                               double typical) const {
  double service = typical;
  if (node.load_told && node.load.service_time > Duration{}) {
    service = ToSeconds(node.load.service_time);
  } else if (now < node.cold_until) {
    service *= kColdFactor;
  }
  const double limit = std::max(1.0, LimitOf(node));
  const double ahead = std::max(0.0, PresentAt(now, node) + 1 - limit);
  double cost = service + kQueueWeight * ahead * service / limit;
  // Near the limit a slot may be taken by another node's request meanwhile.
  const double use = std::min(1.0, PresentAt(now, node) / limit);
  cost += service * use * use * 0.5;
  const double failing = std::max(
      node.failure_share * Freshness(now - node.failure_told, kFailureHalfLife),
      node.load_told ? node.load.failure_share *
                           Freshness(now - *node.load_told, kFailureHalfLife)
                     : 0.0);
  cost += std::max(0.0, failing - kUsualFailures) * kFailureSeconds;
  if (node.failure_domain != this->options.failure_domain) {
    cost += kOtherDomainSeconds;
  }
  return cost;
}

std::optional<NodeAddress> EndpointChooser::Choose(
    Instant now,
    std::string_view service,
    std::span<const NodeAddress> excluded,
    bool needs_room) {
  const auto nodes = this->fleet.NodesOf(service);
  double sum = 0;
  int count = 0;
  for (const auto* node : nodes) {
    if (node->load_told && node->load.service_time > Duration{}) {
      sum += ToSeconds(node->load.service_time);
      ++count;
    }
  }
  const double typical = count > 0 ? sum / count : kDefaultServiceSeconds;
  const FleetNode* best = nullptr;
  double least = 0;
  for (const auto* node : nodes) {
    if (!this->MayUse(now, *node) ||
        std::find(excluded.begin(), excluded.end(), node->node) !=
            excluded.end() ||
        (needs_room && PresentAt(now, *node) >= LimitOf(*node))) {
      continue;
    }
    const double cost =
        this->CostOf(now, *node, typical) * (1 + kNoise * this->random.Unit());
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
    if (this->MayUse(now, *node) && node->load_told) {
      sum += node->load.failure_share;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
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
