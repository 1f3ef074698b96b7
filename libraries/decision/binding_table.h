#ifndef LIBRARIES_DECISION_BINDING_TABLE_H_
#define LIBRARIES_DECISION_BINDING_TABLE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>

#include "libraries/base/random.h"
#include "libraries/base/time.h"
#include "libraries/decision/messages.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

enum class BindingState : std::uint8_t {
  kOpen,         // Issued and not used yet.
  kActive,       // Its request is queued or running.
  kFinished,     // Its request completed; the response is kept.
  kRefused,      // Refused as not run; the refused call may move it.
  kFenced,       // Its request was not run and never will be.
  kMoved,        // Moved to another gate.
  kLost,         // Used or expired; the result is no longer known.
  kNeverIssued,  // Not issued by this incarnation.
  kElsewhere,    // Issued by another gate or another incarnation.
};

// The bindings that one incarnation of a gate has issued. Memory is bounded:
// one byte of state for each binding of the last kLifetime, and a limited
// number of records for bindings with more state.
class BindingTable {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    // Maximum number of bindings with a state; older ones count as expired.
    std::size_t max_states = std::size_t{1} << 18;
    // Maximum number of kept records of ended requests, and maximum size of
    // their responses in bytes.
    std::size_t max_records = 8192;
    std::size_t max_response_bytes = std::size_t{8} << 20;
  };

  static constexpr Duration kLifetime = 300s;

  // State of a binding as returned by Find.
  struct Entry {
    BindingState state = BindingState::kLost;
    std::uint64_t fingerprint = 0;    // Set when kActive or kFinished.
    VisitId visit;                    // Set when kActive.
    Answer answer;                    // Set when kFinished.
    std::optional<Binding> moved_to;  // Set when kMoved.
  };

  BindingTable(Options options, RandomSource& random);

  Binding Issue(Instant now);
  Entry Find(Instant now, const Binding& binding);

  // Records that the request of an open binding was admitted as `visit`.
  void Activate(const Binding& binding,
                std::uint64_t fingerprint,
                VisitId visit);

  // Records the response to the request of an active binding.
  void Finish(const Binding& binding, Answer answer);

  // Records that the request of an active binding may have run, while its
  // response is lost.
  void MarkLost(const Binding& binding);

  // Records that the request of an open or active binding was refused. The
  // refusal was reported to `attempt` alone, so its call may move the binding.
  void MarkRefused(const Binding& binding, const AttemptId& attempt);

  // Closes an open, active or refused binding permanently: its request will
  // never run.
  void Fence(const Binding& binding);

  // Whether the call of `attempt` is the one whose request was refused.
  bool WasRefused(const Binding& binding, const AttemptId& attempt) const;

  // Moves a binding that was refused to the call of `attempt`. Returns false if
  // the binding was not refused, or refused to another call.
  bool Move(const Binding& binding,
            const Binding& moved_to,
            const AttemptId& attempt);

  std::size_t RecordCount() const { return this->records.size(); }
  std::size_t ResponseBytes() const { return this->response_bytes; }
  std::size_t StateCount() const { return this->states.size(); }

 private:
  using Counter = std::uint64_t;

  struct Record {
    BindingState state = BindingState::kActive;
    std::uint64_t fingerprint = 0;
    VisitId visit;
    Answer answer;
    std::size_t bytes = 0;
    AttemptId refused_attempt;
    std::optional<Binding> moved_to;
    // Position in `droppable`; end() while the binding is active.
    std::list<Counter>::iterator droppable_position;
  };

  struct Epoch {
    Instant started_at{};
    Counter first_counter = 0;
  };

  std::uint64_t ComputeTag(Counter counter) const;
  static Counter GetCounter(const Binding& binding);
  void SetState(Counter counter, BindingState state);
  void StoreRecord(Counter counter, Record record);
  void DropRecord(Counter counter, BindingState state);
  void DropExcessRecords();
  void ExpireEpochs(Instant now);
  void ExpireOldest();

  Options options;
  // Secret key of the tags, so that sequences can't be guessed.
  std::uint64_t key;
  Counter next_counter = 1;
  Counter oldest_counter = 1;  // Counter of states.front().
  // States of the counters [oldest_counter, next_counter).
  std::deque<BindingState> states;
  std::deque<Epoch> epochs;  // Oldest first.
  std::unordered_map<Counter, Record> records;
  std::list<Counter> droppable;  // Oldest first.
  std::size_t response_bytes = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_BINDING_TABLE_H_
