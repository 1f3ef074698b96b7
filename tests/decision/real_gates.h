#ifndef TESTS_DECISION_REAL_GATES_H_
#define TESTS_DECISION_REAL_GATES_H_

#include <functional>
#include <memory>
#include <unordered_map>

#include "libraries/decision/gate.h"
#include "tests/decision/origin_fixture.h"
#include "tests/fakes/virtual_time.h"

namespace agaterun::decision {

// Gates with one slot each, in front of backend servers that sometimes break
// the connection or refuse it. Counts the runs of each request by fingerprint.
class RealGates {
 public:
  using Reply = std::function<void(VisitReply, Answer)>;

  // `time` and `random` must outlive the gates.
  RealGates(VirtualTime& time, RandomSource& random)
      : time(time), random(random) {
    auto service = MakeService("vault", 4);
    service->slots = 1;
    AddTo(*this->state, service);
  }

  int CountRuns(std::uint64_t fingerprint) const {
    const auto found = this->runs.find(fingerprint);
    return found == this->runs.end() ? 0 : found->second;
  }

  // Replaces the process at this address by a new incarnation. Before that, the
  // old process either starts leaving, as on a planned stop, or crashes without
  // notice.
  void Restart(NodeAddress address) {
    this->time.After(Duration{1ms} * this->random.Below(200),
                     [this, address] { this->Start(address); });
    if (this->random.Below(2) == 0) {
      Actions actions;
      auto& host = this->HostAt(address);
      host.gate->StartLeaving(this->time.Now(), actions);
      this->Apply(address, actions);
    }
  }

  // Delivers a request to its gate. `reply` is called with the gate's reply.
  void Arrive(const SendAttempt& send, const Reply& reply) {
    auto& host = this->HostAt(send.to);
    const auto& request = send.request;
    this->replies[request.attempt] = reply;
    this->fingerprints[request.attempt] = request.fingerprint;
    Actions actions;
    host.gate->OnVisitArrived(
        this->time.Now(), {.from = request.attempt.origin, .request = request},
        actions);
    this->Apply(send.to, actions);
  }

 private:
  struct Host {
    std::uint64_t incarnation = 0;
    std::unique_ptr<Gate> gate;
  };

  Host& HostAt(NodeAddress address) {
    if (!this->hosts.contains(address)) {
      this->Start(address);
    }
    return this->hosts.at(address);
  }

  void Start(NodeAddress address) {
    auto& host = this->hosts[address];
    ++host.incarnation;
    host.gate =
        std::make_unique<Gate>(Gate::Options{.self = address,
                                             .incarnation = host.incarnation,
                                             .service = "vault"},
                               this->random);
    host.gate->SetState(this->time.Now(), this->state);
  }

  void Apply(NodeAddress address, const Actions& actions) {
    for (const auto& start : AllOf<StartBackend>(actions)) {
      this->SimulateBackend(address, start);
    }
    for (const auto& sent : AllOf<ReplyToOrigin>(actions)) {
      this->replies.at(sent.reply.attempt)(sent.reply, sent.answer);
    }
    auto& host = this->hosts.at(address);
    if (const auto wake = host.gate->NextWake(); wake) {
      this->RunAfter(*wake - this->time.Now(), address,
                     [this](Gate& gate, Actions& due) {
                       gate.OnTick(this->time.Now(), due);
                     });
    }
  }

  // Performs an action at a gate after `delay`, provided the gate's process has
  // not been replaced by then.
  void RunAfter(Duration delay,
                NodeAddress address,
                std::function<void(Gate&, Actions&)> action) {
    const auto incarnation = this->hosts.at(address).incarnation;
    this->time.After(std::max(delay, Duration{}),
                     [this, address, incarnation, action = std::move(action)] {
                       auto& host = this->hosts.at(address);
                       if (host.incarnation == incarnation) {
                         Actions actions;
                         action(*host.gate, actions);
                         this->Apply(address, actions);
                       }
                     });
  }

  void SimulateBackend(NodeAddress address, const StartBackend& start) {
    const auto fingerprint = this->fingerprints.at(start.attempt);
    const auto draw = this->random.Below(10);
    if (draw > 0) {
      ++this->runs[fingerprint];
    }
    this->RunAfter(Duration{1ms} * this->random.Below(200), address,
                   [this, draw, fingerprint, visit = start.visit](
                       Gate& gate, Actions& actions) {
                     const auto now = this->time.Now();
                     if (draw > 1) {
                       gate.OnBackendResponded(
                           now,
                           {.visit = visit,
                            .answer = MakeAnswer(std::to_string(fingerprint))},
                           actions);
                       return;
                     }
                     const auto failure = draw == 0 ? BackendFailure::kNotSent
                                                    : BackendFailure::kBroken;
                     gate.OnBackendFailed(
                         now, {.visit = visit, .failure = failure}, actions);
                   });
  }

  VirtualTime& time;
  RandomSource& random;
  std::shared_ptr<TicketState> state = std::make_shared<TicketState>();
  std::unordered_map<NodeAddress, Host> hosts;
  std::unordered_map<AttemptId, Reply> replies;
  std::unordered_map<AttemptId, std::uint64_t> fingerprints;
  std::unordered_map<std::uint64_t, int> runs;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_REAL_GATES_H_
