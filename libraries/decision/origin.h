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

// The side of a node where calls enter. It decides whether a call is admitted,
// runs its attempts and sends exactly one final response to its caller.
class Origin final : public VisitObserver {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string region;
    std::string failure_domain;
    // Maximum number of calls without a final response; further calls are
    // refused as not run.
    std::size_t max_calls = 16384;
    // Mechanisms that are disabled, to measure the value of each.
    MechanismSet disabled = {};
  };

  // `parents`, `peers` and `random` must outlive the origin.
  Origin(Options options,
         ParentVisits& parents,
         PeerTable& peers,
         RandomSource& random);

  // Sets the ticket state for calls that arrive from now on.
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

  // Ends the calls whose deadline has passed.
  void OnTick(Instant now, Actions& actions);

  // Earliest time at which OnTick has work, or nothing.
  std::optional<Instant> NextWake() const;

  // Number of calls without a final response.
  std::size_t CallsInFlight() const { return this->calls.Size(); }

 private:
  // Refuses a call that has not been started.
  static void Refuse(const CallArrived& event,
                     Reason reason,
                     Actions& actions,
                     Duration retry_after = {});

  void StartQuery(Instant now, const CallArrived& event, Actions& actions);

  // Creates the call of `route` that `event` requests, or returns the reason
  // for refusing it.
  tl::expected<Call, Reason> MakeCall(
      Instant now,
      const CallArrived& event,
      std::shared_ptr<const ServiceState> service,
      const RouteState& route);

  // Handles a retry that has the same Idempotency-Key as an earlier call of its
  // visit: responds with the recorded result, or joins the call if it is still
  // running. Returns true when nothing is left to do for `call`.
  bool JoinByKey(Instant now, Call& call, Actions& actions);

  // Refuses a call that a service on its path would refuse. Returns true if the
  // call was refused.
  bool Shed(Instant now, const Call& call, Actions& actions);

  // Adds the call to the table and sends its first attempt.
  void Start(Instant now, Call call, int retries, Actions& actions);

  // The call that the attempt belongs to, or nullptr if it isn't the call's
  // current attempt.
  Call* FindCurrent(const AttemptId& attempt);

  // Aborts a call for `reason`: its deadline passed, or its caller or parent
  // visit has ended.
  void AbortCall(Instant now, Call& call, Reason reason, Actions& actions);

  void Finish(Instant now, Call& call, const CallEnd& end, Actions& actions);
  // Records the result of a call under its Idempotency-Key.
  void RecordKeyResult(const Call& call, const RespondToCaller& response);
  // Ends the calls that joined `call` with the same response.
  void EndJoined(Instant now,
                 Call& call,
                 RespondToCaller response,
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
