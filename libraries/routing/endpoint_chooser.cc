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
constexpr Duration kFirstLossBackoff = 100ms;
constexpr Duration kMaxLossBackoff = 1s;

// A node that has sent nothing for this long while attempts wait for its reply
// gets no more attempts until it sends something.
constexpr Duration kUnresponsiveTimeout = 500ms;

// A node's report that it accepts no requests is valid for this long. Then a
// single request may probe it.
constexpr Duration kClosedReportTimeout = 1500ms;

// Weight of the expected wait in a queue. A queued request delays those behind
// it as well, and a free slot at another node stays unused.
constexpr double kQueueWeight = 2;

// Half-lives of the weights of reported load and reported failures.
constexpr Duration kLoadHalfLife = 500ms;
constexpr Duration kFailureHalfLife = 1500ms;

// Time that a failed request costs its caller, for comparison with waiting
// times.
constexpr double kFailureCostSeconds = 0.5;

// Failure ratios up to this one occur by random variation and are ignored.
constexpr double kIgnoredFailureRatio = 0.05;

// Costs of another failure domain. A request stays in its failure domain while
// that can serve it in time: another one costs traffic and a longer network
// path in both directions, and a failure domain that depends on others fails
// with them. The first cost is in seconds, the second in mean service times, so
// that random differences between endpoints don't move requests away.
constexpr double kOtherDomainCostSeconds = 0.015;
constexpr double kOtherDomainCostServiceTimes = 0.35;

// Cost of traffic between failure domains: the additional time that a caller
// waits for a response from its own failure domain to save the traffic, and the
// limit of that time as a fraction of the target latency.
constexpr double kTransferSecondsPerByte = 20e-6;
constexpr double kMaxTransferTargetFraction = 0.08;

// Weight of a node's utilization, in service times. The cost grows with the
// fourth power of the utilization, so that requests move to other nodes when a
// node is nearly full and not before.
constexpr double kUtilizationWeight = 0.8;

// If there are many endpoints, the best one of a random sample is chosen. Load
// reports are always some time old, and otherwise all origins would choose the
// same endpoint.
constexpr std::size_t kMaxCandidates = 6;
constexpr std::size_t kMaxOwnDomainCandidates = 4;

// Assumed utilization of a node without a recent report, relative to the mean
// of the other nodes.
constexpr double kUnknownLoadFactor = 0.5;

constexpr double kDefaultServiceSeconds = 0.05;

// Approximate slowdown of a cold backend server.
constexpr double kColdSlowdown = 2;

// Random relative deviation that is added to each cost, so that origins with
// the same load reports don't all choose the same node.
constexpr double kCostNoise = 0.1;

double LimitOf(const FleetNode& node) {
  return node.load_reported_at && node.load.limit > 0
             ? static_cast<double>(node.load.limit)
             : static_cast<double>(node.slots);
}

// Estimated number of requests at the node, queued ones included.
// `mean_utilization` is the mean utilization of nodes with recent load reports.
double EstimatedRequests(Instant now,
                         const FleetNode& node,
                         double mean_utilization) {
  double estimate = kUnknownLoadFactor * mean_utilization * LimitOf(node);
  if (node.load_reported_at) {
    const double freshness =
        Freshness(now - *node.load_reported_at, kLoadHalfLife);
    const double reported = node.load.running + node.load.queued;
    estimate = freshness * reported + (1 - freshness) * estimate;
  }
  return std::max<double>(estimate + node.sent_since_report, node.in_flight);
}

// Reduces `nodes` to a random sample of at most `count` nodes.
void KeepRandomSample(std::vector<const FleetNode*>& nodes,
                      std::size_t count,
                      RandomSource& random) {
  count = std::min(count, nodes.size());
  for (std::size_t index = 0; index < count; ++index) {
    const auto other = index + random.Below(nodes.size() - index);
    std::swap(nodes[index], nodes[other]);
  }
  nodes.resize(count);
}

double TransferSeconds(const EndpointChooser::Query& query) {
  return std::min(kTransferSecondsPerByte * query.response_bytes,
                  kMaxTransferTargetFraction * ToSeconds(query.target_latency));
}

}  // namespace

bool EndpointChooser::IsUsable(Instant now, const FleetNode& node) const {
  const bool is_self = node.node == this->options.self;
  if (node.load_reported_at && (node.load.leaving || !node.load.backend_up)) {
    if (is_self || now - *node.load_reported_at < kClosedReportTimeout ||
        node.in_flight > 0) {
      return false;
    }
  }
  if (node.listed_as_leaving || node.stated_leaving) {
    return false;
  }
  if (!node.listed && !node.load_reported_at) {
    return false;
  }
  if (node.in_flight > 0 && !is_self &&
      now - node.waiting_since > kUnresponsiveTimeout) {
    return false;
  }
  if (!this->IsReachable(now, node)) {
    // A single attempt at a time probes whether the node is reachable again.
    constexpr int kMaxDoublings = 5;
    const auto backoff =
        node.losses == 0
            ? Duration{}
            : std::min(kMaxLossBackoff,
                       kFirstLossBackoff *
                           (1 << std::min(node.losses - 1, kMaxDoublings)));
    return now - node.last_loss > backoff && node.in_flight == 0;
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

EndpointChooser::ServiceMeans EndpointChooser::MeansOf(
    Instant now,
    std::span<const FleetNode* const> nodes) const {
  double service_seconds = 0;
  double utilization = 0;
  double total_weight = 0;
  int count = 0;
  for (const auto* node : nodes) {
    if (!node->load_reported_at) {
      continue;
    }
    if (node->load.service_time > Duration{}) {
      service_seconds += ToSeconds(node->load.service_time);
      ++count;
    }
    const double weight =
        Freshness(now - *node->load_reported_at, kLoadHalfLife);
    utilization +=
        weight * (node->load.running + node->load.queued) / LimitOf(*node);
    total_weight += weight;
  }
  return {.service_seconds =
              count > 0 ? service_seconds / count : kDefaultServiceSeconds,
          .utilization = total_weight > 0 ? utilization / total_weight : 0};
}

double EndpointChooser::CostOf(Instant now,
                               const FleetNode& node,
                               const ServiceMeans& means) const {
  double service_seconds = means.service_seconds;
  if (node.load_reported_at && node.load.slowness > 0) {
    service_seconds *= node.load.slowness;
  } else if (now < node.warmup_until) {
    service_seconds *= kColdSlowdown;
  }
  const double limit = std::max(1.0, LimitOf(node));
  const double requests = EstimatedRequests(now, node, means.utilization);
  const double queued = std::max(0.0, requests + 1 - limit);
  double cost =
      service_seconds + kQueueWeight * queued * service_seconds / limit;
  // Near the limit, a request of another origin may take the free slot first.
  const double utilization = std::min(1.0, requests / limit);
  cost += service_seconds * utilization * utilization * utilization *
          utilization * kUtilizationWeight;
  const double failure_ratio = std::max(
      node.failure_share *
          Freshness(now - node.failure_share_updated_at, kFailureHalfLife),
      node.load_reported_at
          ? node.load.failure_share *
                Freshness(now - *node.load_reported_at, kFailureHalfLife)
          : 0.0);
  cost +=
      std::max(0.0, failure_ratio - kIgnoredFailureRatio) * kFailureCostSeconds;
  if (!this->IsInOwnDomain(node)) {
    cost += kOtherDomainCostSeconds +
            kOtherDomainCostServiceTimes * means.service_seconds;
  }
  // A queue in this failure domain costs the same, so that no request waits for
  // a slot there only to save traffic.
  if (!this->IsInOwnDomain(node) || queued > 0) {
    cost += means.transfer_seconds;
  }
  return cost;
}

std::vector<const FleetNode*> EndpointChooser::Candidates(
    Instant now,
    std::span<FleetNode* const> nodes,
    std::span<const NodeAddress> excluded,
    std::optional<double> mean_utilization) {
  std::vector<const FleetNode*> usable;
  for (const auto* node : nodes) {
    const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                       node->node) != excluded.end();
    const bool is_full =
        mean_utilization &&
        EstimatedRequests(now, *node, *mean_utilization) >= LimitOf(*node);
    if (!is_excluded && !is_full && this->IsUsable(now, *node)) {
      usable.push_back(node);
    }
  }
  if (usable.size() <= kMaxCandidates) {
    return usable;
  }
  const auto other_domains_begin = std::partition(
      usable.begin(), usable.end(),
      [this](const FleetNode* node) { return this->IsInOwnDomain(*node); });
  std::vector<const FleetNode*> other_domains(other_domains_begin,
                                              usable.end());
  usable.erase(other_domains_begin, usable.end());
  KeepRandomSample(usable, kMaxOwnDomainCandidates, this->random);
  KeepRandomSample(other_domains, kMaxCandidates - usable.size(), this->random);
  usable.insert(usable.end(), other_domains.begin(), other_domains.end());
  return usable;
}

std::optional<NodeAddress> EndpointChooser::Choose(Instant now,
                                                   const Query& query) {
  const auto nodes = this->fleet.NodesOf(query.service);
  const std::vector<const FleetNode*> all(nodes.begin(), nodes.end());
  auto means = this->MeansOf(now, all);
  means.transfer_seconds = TransferSeconds(query);
  const FleetNode* best = nullptr;
  double lowest_cost = 0;
  for (const auto* node :
       this->Candidates(now, nodes, query.excluded,
                        query.needs_free_slot ? std::optional(means.utilization)
                                              : std::nullopt)) {
    const double cost = this->CostOf(now, *node, means) *
                        (1 + kCostNoise * this->random.Unit());
    if (best == nullptr || cost < lowest_cost) {
      best = node;
      lowest_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  return best->node;
}

double EndpointChooser::MeanFailureRatio(Instant now,
                                         std::string_view service) {
  double sum = 0;
  int count = 0;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->IsUsable(now, *node) && node->load_reported_at) {
      sum += node->load.failure_share;
      ++count;
    }
  }
  return count == 0 ? 0 : sum / count;
}

double EndpointChooser::UtilizationOf(Instant now, std::string_view service) {
  std::vector<const FleetNode*> usable;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->IsUsable(now, *node)) {
      usable.push_back(node);
    }
  }
  return this->MeansOf(now, usable).utilization;
}

double EndpointChooser::UsableSlots(Instant now, std::string_view service) {
  double slots = 0;
  for (const auto* node : this->fleet.NodesOf(service)) {
    if (this->IsUsable(now, *node) && this->IsReachable(now, *node)) {
      slots += LimitOf(*node);
    }
  }
  return slots;
}

}  // namespace agaterun::routing
