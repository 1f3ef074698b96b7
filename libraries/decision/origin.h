#ifndef LIBRARIES_DECISION_ORIGIN_H_
#define LIBRARIES_DECISION_ORIGIN_H_

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/parent_visits.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// The side of a node where calls enter: it picks endpoints, retries within the
// allowance, and gives each call its one final answer.
class Origin final : public VisitObserver {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
  };

  // `parents`, `peers` and `random` outlive the origin.
  Origin(Options options,
         ParentVisits& parents,
         PeerTable& peers,
         RandomSource& random);

  // Calls that arrive from now on see `state`.
  void SetState(std::shared_ptr<const TicketState> state);

  void OnCallArrived(Instant now, const CallArrived& event, Actions& actions);
  void OnCallerGone(Instant now, const CallerGone& event, Actions& actions);
  void OnAttemptReplied(Instant now,
                        const AttemptReplied& event,
                        Actions& actions);
  void OnAttemptLost(Instant now, const AttemptLost& event, Actions& actions);
  void OnVisitEnded(Instant now, VisitId visit, Actions& actions) override;

  // Handles whatever is due, such as deadlines.
  void OnTick(Instant now, Actions& actions);

  // Earliest instant at which OnTick has work, or nothing.
  std::optional<Instant> NextWake() const;

  // Calls without their final answer.
  std::size_t CallsInFlight() const { return this->calls.size(); }

 private:
  struct Call {
    Instant deadline{};
    std::optional<VisitId> parent;
    NodeAddress gate;
    AttemptId attempt;
  };

  void Finish(Instant now, AnswerCaller answer, Actions& actions);

  Options options;
  ParentVisits& parents;
  [[maybe_unused]] PeerTable& peers;
  RandomSource& random;
  std::shared_ptr<const TicketState> state;
  std::unordered_map<CallId, Call> calls;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ORIGIN_H_
