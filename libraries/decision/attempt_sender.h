#ifndef LIBRARIES_DECISION_ATTEMPT_SENDER_H_
#define LIBRARIES_DECISION_ATTEMPT_SENDER_H_

#include <cstdint>

#include "libraries/decision/call.h"
#include "libraries/decision/events.h"
#include "libraries/decision/peer_table.h"

namespace agaterun::decision {

// Sends the attempts of calls, one at a time per call, and keeps count of the
// requests in flight per peer and of the retries lent to attempts.
class AttemptSender {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
  };

  // `peers` must outlive the sender.
  AttemptSender(Options options, PeerTable& peers)
      : options(options), peers(peers) {}

  // Sends an attempt of `kind`. The call must have none in flight.
  void Send(Instant now,
            Call& call,
            VisitKind kind,
            NodeAddress gate,
            Actions& actions);

  // Ends the attempt in flight after its reply and returns its unspent retries.
  void RecordReply(Instant now, Call& call, const AttemptReplied& event);

  // Ends the attempt in flight without a reply. The retries lent to it are
  // lost, unless the attempt was never sent.
  void RecordLoss(Instant now, Call& call, bool sent);

  // Ends the attempt in flight, if there is one, and notifies its gate.
  void Cancel(Instant now, Call& call, Actions& actions);

 private:
  Options options;
  PeerTable& peers;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ATTEMPT_SENDER_H_
