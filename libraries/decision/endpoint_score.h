#ifndef LIBRARIES_DECISION_ENDPOINT_SCORE_H_
#define LIBRARIES_DECISION_ENDPOINT_SCORE_H_

#include <cstdint>

#include "libraries/decision/endpoint_subset.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// Whether new work may go to an endpoint now.
enum class Usability : std::uint8_t {
  kUsable,
  // Attempts were lost there lately: one at a time may try again.
  kProbe,
  // Leaving, its backend server is down, or lost attempts lately.
  kUnusable,
};

Usability UsabilityOf(Instant now, const PeerState& peer);

// True when the peer is believed to take one more request: it neither refused
// nor reported a full limit just now.
bool HasRoom(Instant now, const PeerState& peer);

// What a score is taken against.
struct ScoreBasis {
  int slots = 1;       // Of one endpoint, as the ticket says.
  Duration typical{};  // Mean latency of the service at this origin.
  Proximity proximity = Proximity::kFailureDomain;
};

// Expected cost of sending the next request to the peer, for comparing
// endpoints of one service. Smaller is better; always positive.
double ScoreOf(Instant now, const PeerState& peer, const ScoreBasis& basis);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ENDPOINT_SCORE_H_
