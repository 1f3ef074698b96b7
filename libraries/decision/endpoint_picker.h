#ifndef LIBRARIES_DECISION_ENDPOINT_PICKER_H_
#define LIBRARIES_DECISION_ENDPOINT_PICKER_H_

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/endpoint_subset.h"
#include "libraries/decision/peer_table.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// Chooses endpoints for the calls of one origin.
class EndpointPicker {
 public:
  struct Options {
    SubsetOrigin origin;
  };

  // Conditions that a chosen endpoint must meet.
  struct Constraints {
    std::span<const NodeAddress> excluded;
    bool needs_free_slot = false;
  };

  // `peers` and `random` must outlive the picker.
  EndpointPicker(Options options, PeerTable& peers, RandomSource& random);

  // Discards all candidates, so that they are chosen again, and removes
  // services and peers that the state no longer names.
  void SetState(const TicketState& state);

  // The node to send the next request of `service` to, or nothing if no
  // endpoint is usable.
  std::optional<NodeAddress> Pick(
      Instant now,
      const std::shared_ptr<const ServiceState>& service,
      const Constraints& constraints);

  // Memory per endpoint in bytes, including its peer state.
  static constexpr std::size_t BytesPerEndpoint() {
    return sizeof(Candidate) + sizeof(NodeAddress) + sizeof(PeerState);
  }

  // Records the latency of a completed attempt at the service.
  void Observe(const std::string& service, Duration elapsed);

 private:
  struct Candidate {
    NodeAddress node;
    const PeerState* peer = nullptr;
    Proximity proximity = Proximity::kOtherRegion;
  };

  // Candidates of one service, nearest first.
  struct Group {
    std::shared_ptr<const ServiceState> service;
    std::vector<Candidate> candidates;
    Duration typical_latency{};
  };

  struct ScoredCandidate {
    const Candidate* candidate = nullptr;
    double score = 0;
  };

  Group& UpdatedGroup(const std::shared_ptr<const ServiceState>& service);
  bool MeetsConstraints(Instant now,
                        const Candidate& candidate,
                        const Constraints& constraints) const;
  // The one with the lower score of two usable candidates, drawn at random from
  // `candidates`.
  ScoredCandidate PickBestOfTwo(Instant now,
                                const Group& group,
                                std::span<const Candidate> candidates,
                                const Constraints& constraints);

  Options options;
  PeerTable& peers;
  RandomSource& random;
  std::unordered_map<std::string, Group> groups;  // By service name.
  // Usable candidates of the current choice. A member, so that its memory is
  // reused.
  std::vector<const Candidate*> usable_candidates;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ENDPOINT_PICKER_H_
