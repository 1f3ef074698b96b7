#ifndef LIBRARIES_DECISION_ENDPOINT_SCORE_H_
#define LIBRARIES_DECISION_ENDPOINT_SCORE_H_

#include <cstdint>

#include "libraries/decision/endpoint_subset.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// Whether requests may be sent to an endpoint now.
enum class Usability : std::uint8_t {
  kUsable,
  // Earlier attempts were lost, or the endpoint was reported as leaving or down
  // some time ago: one attempt at a time may probe it.
  kProbe,
  // The endpoint is leaving, its backend server is down, or attempts were lost
  // there recently.
  kUnusable,
};

Usability UsabilityOf(Instant now, const PeerState& peer);

// True if the peer is assumed to accept one more request, because it has
// neither refused one nor reported a full limit recently.
bool HasCapacity(Instant now, const PeerState& peer);

// Properties of the service and the endpoint that a score depends on.
struct ScoreBasis {
  int slots = 1;               // Slots per endpoint, as set by the ticket.
  Duration typical_latency{};  // Mean latency of the service at this origin.
  Proximity proximity = Proximity::kFailureDomain;
};

// Relative cost of sending the next request to the peer, for comparing
// endpoints of one service. Smaller is better; always positive.
double ScoreOf(Instant now, const PeerState& peer, const ScoreBasis& basis);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ENDPOINT_SCORE_H_
