#include "libraries/decision/endpoint_score.h"

#include <algorithm>

#include "libraries/base/freshness.h"

namespace agaterun::decision {

namespace {

// Time that an endpoint is skipped after its first lost attempt. Doubles with
// each further loss up to the longest.
constexpr Duration kFirstSkip = 50ms;
constexpr Duration kLongestSkip = 1s;

// Longest skip once the peer was heard by heartbeat after the loss.
constexpr Duration kLongestSkipWhenHeard = 200ms;

// Word of a backend server that is down, or of a gate that is leaving, counts
// this long; then one request may find out. Another host may have come at the
// address of one that left, without a heartbeat to this node yet.
constexpr Duration kBackendDownTrusted = 1s;
constexpr Duration kLeavingTrusted = 5s;

// A refusal marks an endpoint as full for this long.
constexpr Duration kRefusalTrusted = 100ms;

// A peer that says nothing for this long while attempts wait there, and for
// this many times its latency, may be cut off. It still gets what no other
// endpoint can take.
constexpr Duration kShortestSilence = 250ms;
constexpr int kSilentLatencies = 8;
constexpr double kSilenceCost = 50;

// A report of a full gate counts this long against a retry.
constexpr Duration kReportTrusted = 200ms;

// Half-lives of what was told and of what was observed.
constexpr Duration kReportHalfLife = 1s;
constexpr Duration kLatencyHalfLife = 2s;
constexpr Duration kRefusalHalfLife = 100ms;

// A report can triple a score and never lower it below what was observed: a
// gate that lies it is idle gains no more than that factor.
constexpr double kReportWeight = 2;

constexpr double kRefusalWeight = 4;

// An endpoint that answers nothing but errors costs this much more than one
// without any. Where all fail alike, as after a bad release, nothing changes.
constexpr double kFailureWeight = 20;

// Endpoints are compared down to this share of the typical latency, so that
// one which leaves out work gains no more than that.
constexpr double kFastestOfTypical = 0.5;

// Requests rise from a tenth over this time at a cold endpoint.
constexpr Duration kSlowStart = 3s;
constexpr double kColdShare = 0.1;

// Cost of leaving the own failure domain, and the own region.
constexpr std::array<double, kProximityCount> kDistanceCost = {1, 2, 16};

constexpr Duration kUnknownLatency = 10ms;

// What was never told has no weight.
double WeightOf(Instant now, Instant told, Duration half_life) {
  if (told == Instant{}) {
    return 0;
  }
  return Freshness(now - told, half_life);
}

double LatencyOf(Instant now, const PeerState& peer, Duration typical) {
  const auto usual = static_cast<double>(
      (typical > Duration{} ? typical : kUnknownLatency).count());
  if (peer.latency == Duration{}) {
    return usual;
  }
  // An old observation fades, so that an endpoint which was slow once is
  // tried again.
  const double fresh =
      WeightOf(now, peer.latency_observed_at, kLatencyHalfLife);
  const double seen =
      usual + (static_cast<double>(peer.latency.count()) - usual) * fresh;
  return std::max(seen, usual * kFastestOfTypical);
}

double ReportedUse(const PeerState& peer, int slots) {
  const auto capacity = std::max<std::uint32_t>(
      1, peer.load.limit == 0
             ? static_cast<std::uint32_t>(slots)
             : std::min(peer.load.limit, static_cast<std::uint32_t>(slots)));
  const double use =
      static_cast<double>(peer.load.running + peer.load.queued) / capacity;
  return std::min(1.0, use);
}

bool IsSilent(Instant now, const PeerState& peer) {
  return peer.in_flight > 0 && peer.waiting_since != Instant{} &&
         now - peer.waiting_since >
             std::max<Duration>(kShortestSilence,
                                kSilentLatencies * peer.latency);
}

double Warmth(Instant now, const PeerState& peer) {
  if (peer.cold_since == Instant{}) {
    return kColdShare;
  }
  const auto warm = static_cast<double>((now - peer.cold_since).count()) /
                    static_cast<double>(kSlowStart.count());
  return std::clamp(warm, kColdShare, 1.0);
}

}  // namespace

Usability UsabilityOf(Instant now, const PeerState& peer) {
  if (peer.listed_as_leaving) {
    return Usability::kUnusable;
  }
  if (peer.load.leaving || !peer.load.backend_up) {
    const auto trusted =
        peer.load.leaving ? kLeavingTrusted : kBackendDownTrusted;
    return now - peer.load_reported_at < trusted || peer.in_flight > 0
               ? Usability::kUnusable
               : Usability::kProbe;
  }
  if (peer.losses == 0) {
    return Usability::kUsable;
  }
  constexpr int kMostDoublings = 10;
  auto skip = kFirstSkip * (1 << std::min(peer.losses - 1, kMostDoublings));
  skip = std::min<Duration>(skip, peer.last_contact > peer.last_loss
                                      ? kLongestSkipWhenHeard
                                      : kLongestSkip);
  if (now - peer.last_loss < skip || peer.in_flight > 0) {
    return Usability::kUnusable;
  }
  return Usability::kProbe;
}

bool HasRoom(Instant now, const PeerState& peer) {
  if (peer.last_overload_refusal != Instant{} &&
      now - peer.last_overload_refusal < kRefusalTrusted) {
    return false;
  }
  return peer.load.limit == 0 || now - peer.load_reported_at > kReportTrusted ||
         peer.load.running + peer.load.queued < peer.load.limit;
}

double ScoreOf(Instant now, const PeerState& peer, const ScoreBasis& basis) {
  const double latency = LatencyOf(now, peer, basis.typical);
  // Own requests under way are what can't be lied about. They count against
  // an eighth of the slots, about one origin's share.
  constexpr double kOriginShare = 0.125;
  const double share = std::max(1.0, basis.slots * kOriginShare);
  const double own = 1 + peer.in_flight / share;
  const double reported =
      1 + kReportWeight * ReportedUse(peer, basis.slots) *
              WeightOf(now, peer.load_reported_at, kReportHalfLife);
  const double refused =
      1 + kRefusalWeight *
              WeightOf(now, peer.last_overload_refusal, kRefusalHalfLife);
  const double failing =
      1 + kFailureWeight * peer.failure_share *
              WeightOf(now, peer.latency_observed_at, kLatencyHalfLife);
  const double silent = IsSilent(now, peer) ? kSilenceCost : 1;
  const double distance =
      kDistanceCost[static_cast<std::size_t>(basis.proximity)];
  return latency * own * reported * refused * failing * silent * distance /
         Warmth(now, peer);
}

}  // namespace agaterun::decision
