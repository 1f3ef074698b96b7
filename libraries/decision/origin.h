#ifndef LIBRARIES_DECISION_ORIGIN_H_
#define LIBRARIES_DECISION_ORIGIN_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "libraries/base/random.h"
#include "libraries/decision/call_runner.h"
#include "libraries/decision/call_table.h"
#include "libraries/decision/events.h"
#include "libraries/decision/mechanism.h"
#include "libraries/decision/nested_keys.h"
#include "libraries/decision/parent_visits.h"
#include "libraries/decision/path_thresholds.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// The side of a node where calls enter: it decides whether they may, has their
// attempts run, and gives each call its one final answer.
class Origin final : public VisitObserver {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    // Calls without their final answer; more are refused as not run.
    std::size_t max_calls = 16384;
    // Switched off, to measure what each is worth.
    MechanismSet disabled = {};
  };

  // `parents`, `peers` and `random` outlive the origin.
  Origin(Options options,
         ParentVisits& parents,
         PeerTable& peers,
         RandomSource& random);

  // Calls that arrive from now on see `state`.
  void SetState(std::shared_ptr<const TicketState> state);

  void OnCallArrived(Instant now, const CallArrived& event, Actions& actions);
  void OnCallerDisconnected(Instant now,
                            const CallerDisconnected& event,
                            Actions& actions);
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
  std::size_t CallsInFlight() const { return this->calls.Size(); }

 private:
  // Refuses a call before anything was done for it.
  static void Refuse(const CallArrived& event,
                     Reason reason,
                     Actions& actions,
                     Duration retry_after = {});

  void StartQuery(Instant now, const CallArrived& event, Actions& actions);

  // A call of `route` as `event` asks for it, or why there is none.
  tl::expected<Call, Reason> MakeCall(
      Instant now,
      const CallArrived& event,
      std::shared_ptr<const ServiceState> service,
      const RouteState& route);

  // Answers or joins a repeat under an Idempotency-Key of its visit. Returns
  // true when nothing is left to do for `call`.
  bool JoinByKey(Instant now, Call& call, Actions& actions);

  // Refuses a call that its path would refuse. Returns true when it did.
  bool Shed(Instant now, const Call& call, Actions& actions);

  // Adds the call and sends its first attempt.
  void Start(Instant now, Call call, int retries, Actions& actions);

  // The call that the attempt belongs to, while it is its current one.
  Call* FindCurrent(const AttemptId& attempt);

  // Gives up a call for `reason`, on its caller's or the deadline's behalf.
  void GiveUp(Instant now, Call& call, Reason reason, Actions& actions);

  void Finish(Instant now, Call& call, const CallEnd& end, Actions& actions);
  void RecordKey(const Call& call, const RespondToCaller& answer);
  void EndJoined(Instant now,
                 Call& call,
                 RespondToCaller answer,
                 Actions& actions);

  Options options;
  ParentVisits& parents;
  RandomSource& random;
  std::shared_ptr<const TicketState> state;
  CallRunner runner;
  PathThresholds thresholds{{}};
  NestedKeys keys{{}};
  CallTable calls;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ORIGIN_H_
