#include "libraries/decision/endpoint_score.h"

#include <algorithm>

#include "libraries/base/freshness.h"

namespace agaterun::decision {

namespace {

// Time for which an endpoint is skipped after its first lost attempt. Doubles
// with each further loss, up to the maximum.
constexpr Duration kInitialSkip = 50ms;
constexpr Duration kMaxSkip = 1s;

// Maximum skip if a message, such as a heartbeat, has arrived from the peer
// since the loss.
constexpr Duration kMaxSkipAfterContact = 200ms;

// How long a report is trusted that the backend server is down or that the gate
// is leaving. After that, one request may probe the endpoint: a different host
// may have taken over the address, without having sent a heartbeat to this node
// yet.
constexpr Duration kBackendDownLifetime = 1s;
constexpr Duration kLeavingLifetime = 5s;

// How long an endpoint counts as full after it refused an attempt.
constexpr Duration kRefusalLifetime = 100ms;

// A peer that has sent nothing for this long while attempts wait there, and for
// this multiple of its latency, may be unreachable. It still gets requests that
// no other endpoint can take.
constexpr Duration kMinUnresponsiveTime = 250ms;
constexpr int kUnresponsiveLatencies = 8;
constexpr double kUnresponsiveCost = 50;

// How long a report of a full gate excludes it from retries.
constexpr Duration kLoadReportLifetime = 200ms;

// Half-lives of load reports, observed latencies and refusals.
constexpr Duration kReportHalfLife = 1s;
constexpr Duration kLatencyHalfLife = 2s;
constexpr Duration kRefusalHalfLife = 100ms;

// A load report can at most triple a score, and can't lower it below the one
// from this node's own observations. A gate that falsely reports to be idle
// thus gains no more than that factor.
constexpr double kReportWeight = 2;

constexpr double kRefusalWeight = 4;

// An endpoint that returns only errors costs this much more than one without
// errors. If all endpoints fail alike, as after a bad release, their order
// doesn't change.
constexpr double kFailureWeight = 20;

// Latencies below this fraction of the service's typical latency count as that
// fraction, which limits the gain of an endpoint that skips work.
constexpr double kMinLatencyFraction = 0.5;

// Slow start: the rate of requests to a cold endpoint rises from a tenth to the
// full rate over this time.
constexpr Duration kSlowStart = 3s;
constexpr double kColdFraction = 0.1;

// Cost factors of endpoints in the origin's failure domain, in another failure
// domain of its region, and in another region.
constexpr std::array<double, kProximityCount> kDistanceCost = {1, 2, 16};

constexpr Duration kUnknownLatency = 10ms;

// Weight of a value recorded at `recorded_at`, in [0, 1]. Zero for a value that
// was never recorded.
double WeightOf(Instant now, Instant recorded_at, Duration half_life) {
  if (recorded_at == Instant{}) {
    return 0;
  }
  return Freshness(now - recorded_at, half_life);
}

// Expected latency at the peer, in ticks of Duration.
double ExpectedLatency(Instant now,
                       const PeerState& peer,
                       Duration typical_latency) {
  const auto service_mean = static_cast<double>(
      (typical_latency > Duration{} ? typical_latency : kUnknownLatency)
          .count());
  if (peer.latency == Duration{}) {
    return service_mean;
  }
  // The weight of an observation decays, so that an endpoint which was slow
  // once is tried again.
  const double weight =
      WeightOf(now, peer.latency_observed_at, kLatencyHalfLife);
  const double expected =
      service_mean +
      (static_cast<double>(peer.latency.count()) - service_mean) * weight;
  return std::max(expected, service_mean * kMinLatencyFraction);
}

// Fraction of the slots that the peer reported as in use, in [0, 1].
double ReportedUtilization(const PeerState& peer, int slots) {
  const auto capacity = std::max<std::uint32_t>(
      1, peer.load.limit == 0
             ? static_cast<std::uint32_t>(slots)
             : std::min(peer.load.limit, static_cast<std::uint32_t>(slots)));
  const double utilization =
      static_cast<double>(peer.load.running + peer.load.queued) / capacity;
  return std::min(1.0, utilization);
}

bool IsUnresponsive(Instant now, const PeerState& peer) {
  return peer.in_flight > 0 && peer.waiting_since != Instant{} &&
         now - peer.waiting_since >
             std::max<Duration>(kMinUnresponsiveTime,
                                kUnresponsiveLatencies * peer.latency);
}

// Fraction of the full request rate that the peer may get during slow start.
double SlowStartFraction(Instant now, const PeerState& peer) {
  if (peer.warmup_start == Instant{}) {
    return kColdFraction;
  }
  const auto elapsed = static_cast<double>((now - peer.warmup_start).count()) /
                       static_cast<double>(kSlowStart.count());
  return std::clamp(elapsed, kColdFraction, 1.0);
}

}  // namespace

Usability UsabilityOf(Instant now, const PeerState& peer) {
  if (peer.listed_as_leaving) {
    return Usability::kUnusable;
  }
  if (peer.load.leaving || !peer.load.backend_up) {
    const auto lifetime =
        peer.load.leaving ? kLeavingLifetime : kBackendDownLifetime;
    return now - peer.load_reported_at < lifetime || peer.in_flight > 0
               ? Usability::kUnusable
               : Usability::kProbe;
  }
  if (peer.losses == 0) {
    return Usability::kUsable;
  }
  constexpr int kMaxDoublings = 10;
  auto skip = kInitialSkip * (1 << std::min(peer.losses - 1, kMaxDoublings));
  skip = std::min<Duration>(skip, peer.last_contact > peer.last_loss
                                      ? kMaxSkipAfterContact
                                      : kMaxSkip);
  if (now - peer.last_loss < skip || peer.in_flight > 0) {
    return Usability::kUnusable;
  }
  return Usability::kProbe;
}

bool HasCapacity(Instant now, const PeerState& peer) {
  if (peer.last_overload_refusal != Instant{} &&
      now - peer.last_overload_refusal < kRefusalLifetime) {
    return false;
  }
  return peer.load.limit == 0 ||
         now - peer.load_reported_at > kLoadReportLifetime ||
         peer.load.running + peer.load.queued < peer.load.limit;
}

double ScoreOf(Instant now, const PeerState& peer, const ScoreBasis& basis) {
  const double latency = ExpectedLatency(now, peer, basis.typical_latency);
  // A peer can't falsify the number of this origin's own requests in flight.
  // They are compared with an eighth of the slots, which is about the part that
  // one origin uses.
  constexpr double kOriginFraction = 0.125;
  const double origin_slots = std::max(1.0, basis.slots * kOriginFraction);
  const double in_flight_cost = 1 + peer.in_flight / origin_slots;
  const double load_cost =
      1 + kReportWeight * ReportedUtilization(peer, basis.slots) *
              WeightOf(now, peer.load_reported_at, kReportHalfLife);
  const double refusal_cost =
      1 + kRefusalWeight *
              WeightOf(now, peer.last_overload_refusal, kRefusalHalfLife);
  const double failure_cost =
      1 + kFailureWeight * peer.failure_share *
              WeightOf(now, peer.latency_observed_at, kLatencyHalfLife);
  const double unresponsive_cost =
      IsUnresponsive(now, peer) ? kUnresponsiveCost : 1;
  const double distance_cost =
      kDistanceCost[static_cast<std::size_t>(basis.proximity)];
  return latency * in_flight_cost * load_cost * refusal_cost * failure_cost *
         unresponsive_cost * distance_cost / SlowStartFraction(now, peer);
}

}  // namespace agaterun::decision
