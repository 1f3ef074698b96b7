#ifndef TESTS_DECISION_FAULTY_GATES_H_
#define TESTS_DECISION_FAULTY_GATES_H_

#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

#include "tests/decision/origin_fixture.h"
#include "tests/fakes/virtual_time.h"

namespace agaterun::decision {

// A model of gates that obey the binding contract, for tests with a network
// that loses, duplicates and reorders messages. Counts runs by fingerprint.
class FaultyGates {
 public:
  using Reply = std::function<void(VisitReply, Answer)>;

  // `time` and `random` must outlive the gates.
  FaultyGates(VirtualTime& time, RandomSource& random)
      : time(time), random(random) {}

  int CountRuns(std::uint64_t fingerprint) const {
    const auto found = this->runs.find(fingerprint);
    return found == this->runs.end() ? 0 : found->second;
  }

  // Restarts the process at this address. Its running requests are aborted and
  // may have taken effect, and its bindings are lost.
  void Restart(NodeAddress address) {
    auto& gate = this->gates[address];
    gate = Gate{.incarnation = gate.incarnation + 1};
  }

  // Processes an attempt. `reply` is called with the gate's reply, possibly
  // late or never.
  void Arrive(const SendAttempt& send, const Reply& reply) {
    const auto& request = send.request;
    auto& gate = this->gates[send.to];
    switch (request.kind) {
      case VisitKind::kIssueBinding:
        this->Issue(gate, send, reply);
        return;
      case VisitKind::kRun:
        this->Run(gate, send, reply);
        return;
      case VisitKind::kQueryBinding:
        this->Query(gate, send, reply);
        return;
      case VisitKind::kMoveBinding:
        this->Move(gate, send, reply);
        return;
    }
  }

 private:
  enum class State { kOpen, kRunning, kFinished, kRefused, kFenced, kMoved };

  struct Record {
    State state = State::kOpen;
    // The call that was refused, which alone may move the binding.
    std::pair<NodeAddress, CallId> refused;
    std::optional<Binding> moved_to;
    Answer answer;
    std::vector<std::pair<AttemptId, Reply>> waiting;
  };

  struct Gate {
    std::uint64_t incarnation = 1;
    std::map<std::uint64_t, Record> records;
  };

  static std::pair<NodeAddress, CallId> CallOf(const AttemptId& attempt) {
    return {attempt.origin, attempt.call};
  }

  static void SendReply(const SendAttempt& send,
                        const Reply& reply,
                        VisitReply visit_reply,
                        Answer answer = nullptr) {
    visit_reply.attempt = send.request.attempt;
    visit_reply.unspent_allowance = send.request.allowance;
    reply(std::move(visit_reply), std::move(answer));
  }

  Binding Next(Gate& gate, NodeAddress address) {
    const auto sequence = gate.records.size() + 1;
    gate.records[sequence];
    return {
        .gate = address, .incarnation = gate.incarnation, .sequence = sequence};
  }

  void Issue(Gate& gate, const SendAttempt& send, const Reply& reply) {
    if (this->random.Below(5) == 0) {
      SendReply(send, reply,
                {.outcome = Outcome::kNotRun, .reason = Reason::kLeaving});
      return;
    }
    SendReply(send, reply,
              {.outcome = Outcome::kNotRun,
               .reason = Reason::kBindingRequired,
               .next_binding = this->Next(gate, send.to)});
  }

  // The record of the request's binding. If an earlier incarnation issued the
  // binding, replies that it is lost and returns nullptr.
  static Record* Find(Gate& gate, const SendAttempt& send, const Reply& reply) {
    const auto& binding = *send.request.binding;
    if (binding.incarnation != gate.incarnation) {
      SendReply(send, reply,
                {.outcome = Outcome::kUnknown, .reason = Reason::kBindingLost});
      return nullptr;
    }
    return &gate.records.at(binding.sequence);
  }

  void Run(Gate& gate, const SendAttempt& send, const Reply& reply) {
    auto* record = Find(gate, send, reply);
    if (record == nullptr) {
      return;
    }
    const auto caller = CallOf(send.request.attempt);
    switch (record->state) {
      case State::kOpen:
        this->Admit(gate, *record, send, reply);
        return;
      case State::kRunning:
        record->waiting.emplace_back(send.request.attempt, reply);
        return;
      case State::kFinished:
        SendReply(send, reply, {.outcome = Outcome::kCompleted},
                  record->answer);
        return;
      case State::kRefused:
        if (record->refused != caller) {
          record->state = State::kFenced;
        }
        [[fallthrough]];
      case State::kFenced:
        SendReply(
            send, reply,
            {.outcome = Outcome::kNotRun, .reason = Reason::kBindingFenced});
        return;
      case State::kMoved:
        SendReply(send, reply,
                  {.outcome = Outcome::kNotRun, .moved_to = record->moved_to});
        return;
    }
  }

  void Admit(Gate& gate,
             Record& record,
             const SendAttempt& send,
             const Reply& reply) {
    const auto draw = this->random.Below(10);
    if (draw < 5) {
      record.state = State::kRefused;
      record.refused = CallOf(send.request.attempt);
      constexpr Reason kReasons[] = {Reason::kLeaving, Reason::kBackendDown,
                                     Reason::kOverloaded, Reason::kSuspect};
      SendReply(send, reply,
                {.outcome = Outcome::kNotRun,
                 .reason = kReasons[this->random.Below(4)]});
      return;
    }
    ++this->runs[send.request.fingerprint];
    record.state = State::kRunning;
    record.waiting.emplace_back(send.request.attempt, reply);
    const auto binding = *send.request.binding;
    const auto incarnation = gate.incarnation;
    this->time.After(
        Duration{1ms} * this->random.Below(300),
        [this, binding, incarnation, fingerprint = send.request.fingerprint] {
          this->Finish(binding, incarnation, fingerprint);
        });
  }

  void Finish(const Binding& binding,
              std::uint64_t incarnation,
              std::uint64_t fingerprint) {
    auto& gate = this->gates[binding.gate];
    if (gate.incarnation != incarnation) {
      return;
    }
    auto& record = gate.records.at(binding.sequence);
    record.state = State::kFinished;
    record.answer = MakeAnswer(std::to_string(fingerprint));
    for (const auto& [attempt, reply] : std::exchange(record.waiting, {})) {
      reply({.attempt = attempt, .outcome = Outcome::kCompleted},
            record.answer);
    }
  }

  void Query(Gate& gate, const SendAttempt& send, const Reply& reply) {
    auto* record = Find(gate, send, reply);
    if (record == nullptr) {
      return;
    }
    switch (record->state) {
      case State::kOpen:
      case State::kRefused:
      case State::kFenced:
        record->state = State::kFenced;
        SendReply(
            send, reply,
            {.outcome = Outcome::kNotRun, .reason = Reason::kBindingFenced});
        return;
      case State::kRunning:
        SendReply(
            send, reply,
            {.outcome = Outcome::kUnknown, .reason = Reason::kInProgress});
        return;
      case State::kFinished:
        SendReply(send, reply, {.outcome = Outcome::kCompleted},
                  record->answer);
        return;
      case State::kMoved:
        SendReply(send, reply,
                  {.outcome = Outcome::kNotRun, .moved_to = record->moved_to});
        return;
    }
  }

  void Move(Gate& gate, const SendAttempt& send, const Reply& reply) {
    auto* record = Find(gate, send, reply);
    if (record == nullptr) {
      return;
    }
    const bool may_move = record->state == State::kRefused &&
                          record->refused == CallOf(send.request.attempt);
    if (!may_move) {
      this->Query(gate, send, reply);
      return;
    }
    record->state = State::kMoved;
    record->moved_to = send.request.moved_to;
    SendReply(send, reply,
              {.outcome = Outcome::kNotRun, .moved_to = record->moved_to});
  }

  VirtualTime& time;
  RandomSource& random;
  std::unordered_map<NodeAddress, Gate> gates;
  std::unordered_map<std::uint64_t, int> runs;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_FAULTY_GATES_H_
