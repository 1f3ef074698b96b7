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
  kOpen,         // Issued and not used.
  kActive,       // Its request is queued or runs.
  kFinished,     // Its answer is kept.
  kRefused,      // Refused as not run; the refused call may move it.
  kFenced,       // Not run, and never will be.
  kMoved,        // Lives at another gate.
  kLost,         // Used or expired, and nothing more is known.
  kNeverIssued,  // No binding of this incarnation.
  kElsewhere,    // Of another gate or another incarnation.
};

// The bindings that one gate incarnation has issued. Bounded: a state of one
// byte per binding of the last kLifetime, and records for those with more to
// remember.
class BindingTable {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    // Bindings older than the newest so many count as expired.
    std::size_t max_states = std::size_t{1} << 18;
    // Kept records of requests that ended, and bytes of their answers.
    std::size_t max_records = 8192;
    std::size_t max_response_bytes = std::size_t{8} << 20;
  };

  static constexpr Duration kLifetime = 300s;

  // What the table knows of a binding.
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

  // An open binding's request was admitted as `visit`.
  void Activate(const Binding& binding,
                std::uint64_t fingerprint,
                VisitId visit);

  // An active binding's request was answered.
  void Finish(const Binding& binding, Answer answer);

  // An active binding's request may have run, and its answer is lost.
  void MarkLost(const Binding& binding);

  // The request of an open or active binding was refused, which `attempt`
  // alone is told: that call may move it.
  void MarkRefused(const Binding& binding, const AttemptId& attempt);

  // Closes an open, active or refused binding for good.
  void Fence(const Binding& binding);

  // Whether the call of `attempt` is the one that was refused.
  bool WasRefused(const Binding& binding, const AttemptId& attempt) const;

  // Moves a binding that was refused to `attempt`'s call. False otherwise.
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
    // Place among the records that may be dropped; end() while active.
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
  std::uint64_t key;  // So that a sequence can't be guessed.
  Counter next_counter = 1;
  Counter oldest_counter = 1;       // Counter of states.front().
  std::deque<BindingState> states;  // Of the counters [floor, next).
  std::deque<Epoch> epochs;         // Oldest first.
  std::unordered_map<Counter, Record> records;
  std::list<Counter> droppable;  // Oldest first.
  std::size_t response_bytes = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_BINDING_TABLE_H_
