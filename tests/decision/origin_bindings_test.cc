#include <boost/test/unit_test.hpp>
#include <memory>

#include "libraries/decision/origin.h"
#include "tests/decision/faulty_gates.h"
#include "tests/decision/real_gates.h"

namespace agaterun::decision {

BOOST_AUTO_TEST_SUITE(OriginBindingsTest)

constexpr int kOrigins = 3;
constexpr int kGates = 4;

// Simulates outside callers that send one write each and resend it under its
// binding through any node, and backend servers that resend nested writes under
// one Idempotency-Key.
template <typename Gates>
class BindingWorld {
 public:
  explicit BindingWorld(std::uint64_t seed)
      : random(seed), gates(time, random) {
    auto state = std::make_shared<TicketState>();
    auto service = MakeService("vault", kGates);
    for (auto& route : service->routes) {
      route.deadline = 400ms;
    }
    AddTo(*state, service);
    AddTo(*state, 1000.0);
    for (int number = 0; number < kOrigins; ++number) {
      this->hosts.push_back(
          std::make_unique<Host>(NodeOf(90 + number), this->random));
      this->hosts.back()->origin.SetState(state);
    }
  }

  // Runs `requests` writes of both kinds, with three gate restarts, until all
  // calls have ended.
  void Run(int requests) {
    for (std::uint64_t fingerprint = 1;
         fingerprint <= static_cast<std::uint64_t>(requests); ++fingerprint) {
      const auto start = this->time.Now() + this->Delay(3000);
      if (this->random.Below(2) == 0) {
        this->time.At(
            start, [this, fingerprint] { this->RequestBinding(fingerprint); });
      } else {
        this->time.At(start,
                      [this, fingerprint] { this->RunVisit(fingerprint); });
      }
    }
    for (int restart = 0; restart < 3; ++restart) {
      this->time.After(this->Delay(3000), [this] {
        this->gates.Restart(
            NodeOf(1 + static_cast<int>(this->random.Below(kGates))));
      });
    }
    this->time.RunUntil(60s);
  }

  // Checks the invariants that hold at the end of every run.
  void Check(int requests) {
    for (std::uint64_t fingerprint = 1;
         fingerprint <= static_cast<std::uint64_t>(requests); ++fingerprint) {
      const auto& outcomes = this->outcomes[fingerprint];
      const int runs = this->gates.CountRuns(fingerprint);
      BOOST_TEST_CONTEXT("request " << fingerprint) {
        BOOST_TEST(runs <= 1);
        BOOST_TEST((outcomes.not_run == 0 || runs == 0));
        BOOST_TEST((outcomes.completed == 0 || runs == 1));
        const bool all_not_run = outcomes.completed + outcomes.unknown == 0;
        BOOST_TEST((!all_not_run || runs == 0));
      }
      this->completed += outcomes.completed;
      this->not_run += outcomes.not_run;
      this->unknown += outcomes.unknown;
    }
    for (const auto& host : this->hosts) {
      BOOST_TEST(host->origin.CallsInFlight() == 0U);
      BOOST_TEST(host->responses.size() == host->arrived);
      for (const auto& [address, peer] : host->peers.All()) {
        BOOST_TEST(peer.in_flight == 0);
      }
    }
  }

  int completed = 0;
  int not_run = 0;
  int unknown = 0;

 private:
  struct Host {
    Host(NodeAddress self, RandomSource& random)
        : origin({.self = self, .incarnation = 5}, parents, peers, random) {}

    FakeParents parents;
    PeerTable peers;
    Origin origin;
    std::size_t arrived = 0;
    std::unordered_map<CallId, RespondToCaller> responses;
    std::unordered_map<CallId, CallArrived> calls;
  };

  // Number of responses to one request, by outcome.
  struct OutcomeCounts {
    int completed = 0;
    int not_run = 0;
    int unknown = 0;
  };

  Duration Delay(std::uint64_t milliseconds) {
    return Duration{1ms} * this->random.Below(milliseconds);
  }

  Host& AnyHost() { return *this->hosts[this->random.Below(kOrigins)]; }

  void Arrive(Host& host, CallArrived event) {
    event.call = ++this->last_call;
    event.service = "vault";
    event.method = "POST";
    event.path = "/write";
    ++host.arrived;
    host.calls[event.call] = event;
    Actions actions;
    host.origin.OnCallArrived(this->time.Now(), event, actions);
    this->Perform(host, actions);
  }

  // An outside caller first requests a binding, by sending its write without
  // one.
  void RequestBinding(std::uint64_t fingerprint) {
    this->Arrive(this->AnyHost(), {.fingerprint = fingerprint});
  }

  // A visit sends one nested write three times under the same key.
  void RunVisit(std::uint64_t fingerprint) {
    auto& host = this->AnyHost();
    const VisitId visit = {.high = 1, .low = fingerprint};
    host.parents.Add(visit, {.visit = {.deadline = this->time.Now() + 2s},
                             .allowance = RetryAllowance({.retries = 6})});
    for (int copy = 0; copy < 3; ++copy) {
      this->time.After(this->Delay(900), [this, &host, visit, fingerprint] {
        this->Arrive(host, {.fingerprint = fingerprint,
                            .parent = visit,
                            .idempotency_key = "key"});
      });
    }
  }

  void Perform(Host& host, const Actions& actions) {
    for (const auto& send : AllOf<SendAttempt>(actions)) {
      this->Carry(host, send);
    }
    for (const auto& response : AllOf<RespondToCaller>(actions)) {
      BOOST_TEST(host.responses.emplace(response.call, response).second);
      this->ProcessResponse(host, response);
    }
    if (const auto wake = host.origin.NextWake(); wake) {
      this->time.At(*wake, [this, &host] {
        Actions due;
        host.origin.OnTick(this->time.Now(), due);
        this->Perform(host, due);
      });
    }
  }

  void ProcessResponse(Host& host, const RespondToCaller& response) {
    const auto& call = host.calls.at(response.call);
    if (response.reason == Reason::kBindingRequired) {
      // Sends and resends the write under its binding, without waiting for a
      // response.
      for (int copy = 0; copy < 3; ++copy) {
        this->time.After(this->Delay(500), [this,
                                            fingerprint = call.fingerprint,
                                            binding = response.next_binding] {
          const bool is_query = this->random.Below(8) == 0;
          this->Arrive(
              this->AnyHost(),
              {.kind = is_query ? VisitKind::kQueryBinding : VisitKind::kRun,
               .fingerprint = fingerprint,
               .binding = binding});
        });
      }
      return;
    }
    // Without a binding, "not run" applies to this call alone: the caller has
    // no binding yet, or a later call under the same key starts as a new call.
    const bool is_final = call.binding.has_value();
    auto& outcomes = this->outcomes[call.fingerprint];
    outcomes.completed += response.outcome == Outcome::kCompleted ? 1 : 0;
    outcomes.not_run +=
        is_final && response.outcome == Outcome::kNotRun ? 1 : 0;
    outcomes.unknown += response.outcome == Outcome::kUnknown ? 1 : 0;
    if (call.parent && response.outcome == Outcome::kNotRun) {
      BOOST_TEST(this->gates.CountRuns(call.fingerprint) == 0);
    }
    if (response.outcome == Outcome::kCompleted) {
      BOOST_TEST(response.answer->body == std::to_string(call.fingerprint));
    }
  }

  // Delivers an attempt to its gate and the reply to the origin, over a network
  // that loses, duplicates, delays and reorders messages.
  void Carry(Host& host, const SendAttempt& send) {
    const auto lose = [this, &host, attempt = send.request.attempt](bool sent) {
      this->time.After(this->Delay(50), [this, &host, attempt, sent] {
        Actions actions;
        host.origin.OnAttemptLost(this->time.Now(),
                                  {.attempt = attempt, .sent = sent}, actions);
        this->Perform(host, actions);
      });
    };
    const auto reply = [this, &host](const VisitReply& visit_reply,
                                     const Answer& answer) {
      if (this->random.Below(8) == 0) {
        return;
      }
      const int copies = this->random.Below(8) == 0 ? 2 : 1;
      for (int copy = 0; copy < copies; ++copy) {
        this->time.After(this->Delay(60), [this, &host, visit_reply, answer] {
          Actions actions;
          host.origin.OnAttemptReplied(this->time.Now(),
                                       {.reply = visit_reply, .answer = answer},
                                       actions);
          this->Perform(host, actions);
        });
      }
    };
    const auto draw = this->random.Below(20);
    if (draw == 0) {
      lose(false);
      return;
    }
    if (draw <= 2) {
      lose(true);
    }
    if (draw == 1) {
      return;
    }
    const int copies = draw == 3 ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
      this->time.After(this->Delay(100), [this, send, reply] {
        this->gates.Arrive(send, reply);
      });
    }
  }

  VirtualTime time;
  SeededRandom random;
  Gates gates;
  std::vector<std::unique_ptr<Host>> hosts;
  std::unordered_map<std::uint64_t, OutcomeCounts> outcomes;
  CallId last_call = 0;
};

// Runs the seeds from 1 to `seeds`. Checks that each outcome occurs more than
// `min_count` times in total.
template <typename Gates>
void CheckSeeds(std::uint64_t seeds, int min_count) {
  int completed = 0;
  int not_run = 0;
  int unknown = 0;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      constexpr int kRequests = 40;
      BindingWorld<Gates> world(seed);
      world.Run(kRequests);
      world.Check(kRequests);
      completed += world.completed;
      not_run += world.not_run;
      unknown += world.unknown;
    }
  }
  BOOST_TEST(completed > min_count);
  BOOST_TEST(not_run > min_count);
  BOOST_TEST(unknown > min_count);
  BOOST_TEST_MESSAGE("completed " << completed << ", not run " << not_run
                                  << ", unknown " << unknown);
}

BOOST_AUTO_TEST_CASE(WritesRunAtMostOnceAndNotRunIsCorrect) {
  CheckSeeds<FaultyGates>(60, 500);
}

BOOST_AUTO_TEST_CASE(WritesRunAtMostOnceAtRealGates) {
  CheckSeeds<RealGates>(30, 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace agaterun::decision
