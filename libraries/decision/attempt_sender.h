#ifndef LIBRARIES_DECISION_ATTEMPT_SENDER_H_
#define LIBRARIES_DECISION_ATTEMPT_SENDER_H_

#include <cstdint>

#include "libraries/decision/call.h"
#include "libraries/decision/events.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// Sends the attempts of calls, one at a time per call, and keeps the accounts:
// requests under way per peer, and retries lent to attempts.
class AttemptSender {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
  };

  // `peers` outlives the sender.
  AttemptSender(Options options, PeerTable& peers)
      : options(options), peers(peers) {}

  // Sends an attempt of `kind`. The call has none under way.
  void Send(Instant now,
            Call& call,
            VisitKind kind,
            NodeAddress gate,
            Actions& actions);

  // Closes the accounts of the attempt that the event answers.
  void EndReplied(Instant now, Call& call, const AttemptReplied& event);

  // Closes the accounts of an attempt that ended without a word. What was lent
  // to it is gone, unless it was never sent.
  void EndLost(Instant now, Call& call, bool sent);

  // Gives up the attempt under way, if there is one, and tells its gate.
  void Cancel(Instant now, Call& call, Actions& actions);

 private:
  Options options;
  PeerTable& peers;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ATTEMPT_SENDER_H_
