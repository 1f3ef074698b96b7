#ifndef BENCHMARKS_ROUTING_SIMULATION_H_
#define BENCHMARKS_ROUTING_SIMULATION_H_

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

#include "libraries/base/random.h"
#include "libraries/decision/endpoint_picker.h"
#include "libraries/decision/peer_table.h"
#include "tests/fakes/virtual_time.h"

namespace agaterun::decision {

enum class RoutingPolicy : std::uint8_t {
  kRandom,
  kRoundRobin,
  kBestOfTwoWithoutAges,  // Own in-flight plus the last report, however old.
  kAgaterun,
};

inline constexpr std::array kRoutingPolicyNames = {
    EnumName<RoutingPolicy>{RoutingPolicy::kRandom, "random"},
    EnumName<RoutingPolicy>{RoutingPolicy::kRoundRobin, "round-robin"},
    EnumName<RoutingPolicy>{RoutingPolicy::kBestOfTwoWithoutAges,
                            "best-of-two-without-ages"},
    EnumName<RoutingPolicy>{RoutingPolicy::kAgaterun, "agaterun"},
};

enum class RoutingCase : std::uint8_t {
  kNormal,
  kGrey,          // One endpoint takes 20 times as long.
  kLying,         // One endpoint tells that it is idle.
  kLyingSlow,     // The same, and it takes 5 times as long.
  kFailsFast,     // One endpoint answers a useless error at once.
  kColdThird,     // A third restarts at once and is cold.
  kCutOff,        // One failure domain is cut off for four seconds.
  kOneDomainHot,  // All requests come from one failure domain.
};

inline constexpr std::array kRoutingCaseNames = {
    EnumName<RoutingCase>{RoutingCase::kNormal, "normal"},
    EnumName<RoutingCase>{RoutingCase::kGrey, "grey"},
    EnumName<RoutingCase>{RoutingCase::kLying, "lying"},
    EnumName<RoutingCase>{RoutingCase::kLyingSlow, "lying-slow"},
    EnumName<RoutingCase>{RoutingCase::kFailsFast, "fails-fast"},
    EnumName<RoutingCase>{RoutingCase::kColdThird, "cold-third"},
    EnumName<RoutingCase>{RoutingCase::kCutOff, "cut-off"},
    EnumName<RoutingCase>{RoutingCase::kOneDomainHot, "one-domain-hot"},
};

struct RoutingOptions {
  RoutingPolicy policy = RoutingPolicy::kAgaterun;
  RoutingCase fault = RoutingCase::kNormal;
  double load = 0.7;  // Of what all slots carry.
  // A second attempt after this delay; zero sends none.
  Duration hedge_after{};
  std::uint64_t seed = 1;
};

struct RoutingResult {
  int requests = 0;
  int in_time = 0;
  int refused = 0;
  int attempts = 0;
  int to_faulty = 0;  // Of the attempts.
  int cross_domain = 0;
  std::vector<Duration> latencies;  // Of answers in time.

  Duration Percentile(double share) {
    if (this->latencies.empty()) {
      return {};
    }
    const auto place = static_cast<std::ptrdiff_t>(
        share * static_cast<double>(this->latencies.size() - 1));
    const auto nth = this->latencies.begin() + place;
    std::nth_element(this->latencies.begin(), nth, this->latencies.end());
    return *nth;
  }
};

// Origins that send requests to the endpoints of one service, on virtual time:
// 12 endpoints with 25 slots in three failure domains, one origin on each of
// 12 hosts, service times around 20 ms, deadline 1 s, queues of 100 ms.
class RoutingSimulation {
 public:
  explicit RoutingSimulation(RoutingOptions options);
  RoutingResult Run();

 private:
  static constexpr int kEndpoints = 12;
  static constexpr int kOrigins = 12;
  static constexpr int kDomains = 3;
  static constexpr int kSlots = 25;
  static constexpr std::size_t kQueue = 125;  // About 100 ms of 25 slots.
  static constexpr Duration kServiceTime = 20ms;
  static constexpr Duration kDeadline = 1s;
  static constexpr Duration kSameDomain =
      100us;  // One way in a failure domain.
  static constexpr Duration kOtherDomain = 1500us;  // One way between them.
  static constexpr Duration kHeartbeat = 200ms;
  static constexpr Duration kStart = 3s;  // Not measured before.
  static constexpr Duration kEnd = 13s;
  static constexpr Duration kFault = 5s;   // The cold restart.
  static constexpr Duration kHealed = 9s;  // The end of the cut.
  static constexpr Duration kWarmUp = 3s;
  static constexpr int kFaulty = 0;

  struct Request {
    int origin = 0;
    Instant arrived{};
    bool ended = false;
    int under_way = 0;
  };

  struct Attempt {
    std::shared_ptr<Request> request;
    int endpoint = 0;
    Instant sent{};
    bool cancelled = false;
  };
  using AttemptPointer = std::shared_ptr<Attempt>;

  struct Endpoint {
    int running = 0;
    std::deque<AttemptPointer> queue;
    Instant warmup_start{-1h};
  };

  struct Origin {
    explicit Origin(int number, RandomSource& random);
    PeerTable peers;
    EndpointPicker picker;
    int next = 0;  // Of the round robin.
  };

  static NodeAddress AddressOf(int endpoint) {
    return {.ip = 1, .port = static_cast<std::uint16_t>(1 + endpoint)};
  }
  Duration DistanceOf(int origin, int endpoint) const {
    return origin % kDomains == endpoint % kDomains ? kSameDomain
                                                    : kOtherDomain;
  }
  bool IsFaulty(int endpoint) const;
  // True while nothing passes between the two.
  bool IsCut(int origin, int endpoint) const {
    const bool crosses = (origin % kDomains == 0) != (endpoint % kDomains == 0);
    return this->options.fault == RoutingCase::kCutOff && crosses &&
           this->time.Now() >= kFault && this->time.Now() < kHealed;
  }

  void ScheduleArrival(int origin);
  void ScheduleHeartbeats();
  void RestartThird();
  void Arrive(int origin);
  int Pick(int origin, int except);
  int PickBestOfTwo(int origin);
  void Send(const std::shared_ptr<Request>& request, int except);
  void Reach(const AttemptPointer& attempt);
  void Serve(const AttemptPointer& attempt);
  void Reply(const AttemptPointer& attempt, bool completed);
  void Take(const AttemptPointer& attempt, bool completed);
  void Expire(const std::shared_ptr<Request>& request);
  Duration ServiceTime(int endpoint);
  LoadReport LoadOf(int endpoint) const;
  void Count(const Request& request, bool in_time);

  RoutingOptions options;
  SeededRandom random;
  VirtualTime time;
  std::shared_ptr<ServiceState> service;
  std::vector<Endpoint> endpoints;
  std::vector<std::unique_ptr<Origin>> origins;
  std::vector<AttemptPointer> open;  // Attempts of requests to be cancelled.
  RoutingResult result;
};

inline RoutingSimulation::Origin::Origin(int number, RandomSource& random)
    : picker({.origin = {.self = AddressOf(number),
                         .region = "slo-central",
                         .failure_domain =
                             "domain" + std::to_string(number % kDomains)}},
             peers,
             random) {}

inline RoutingSimulation::RoutingSimulation(RoutingOptions options)
    : options(options),
      random(options.seed),
      service(std::make_shared<ServiceState>()),
      endpoints(kEndpoints) {
  this->service->name = "balance";
  this->service->slots = kSlots;
  for (int number = 0; number < kEndpoints; ++number) {
    this->service->endpoints.push_back(
        {.node = AddressOf(number),
         .region = "slo-central",
         .failure_domain = "domain" + std::to_string(number % kDomains)});
  }
  for (int number = 0; number < kOrigins; ++number) {
    this->origins.push_back(std::make_unique<Origin>(number, this->random));
  }
}

inline RoutingResult RoutingSimulation::Run() {
  for (int origin = 0; origin < kOrigins; ++origin) {
    const bool sends = this->options.fault != RoutingCase::kOneDomainHot ||
                       origin % kDomains == 0;
    if (sends) {
      this->ScheduleArrival(origin);
    }
  }
  this->ScheduleHeartbeats();
  if (this->options.fault == RoutingCase::kColdThird) {
    this->time.At(kFault, [this] { this->RestartThird(); });
  }
  this->time.RunUntil(kEnd + 2 * kDeadline);
  return this->result;
}

inline bool RoutingSimulation::IsFaulty(int endpoint) const {
  switch (this->options.fault) {
    case RoutingCase::kNormal:
    case RoutingCase::kCutOff:
    case RoutingCase::kOneDomainHot:
      return false;
    case RoutingCase::kColdThird:
      return endpoint % kDomains == kFaulty;
    case RoutingCase::kGrey:
    case RoutingCase::kLying:
    case RoutingCase::kLyingSlow:
    case RoutingCase::kFailsFast:
      return endpoint == kFaulty;
  }
  return false;
}

inline void RoutingSimulation::ScheduleArrival(int origin) {
  const int senders = this->options.fault == RoutingCase::kOneDomainHot
                          ? kOrigins / kDomains
                          : kOrigins;
  const double rate = this->options.load * kEndpoints * kSlots /
                      ToSeconds(kServiceTime) / senders;
  const double wait = -std::log(1 - this->random.Unit()) / rate;
  const auto delay =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
  this->time.After(delay, [this, origin] {
    if (this->time.Now() < kEnd) {
      this->ScheduleArrival(origin);
    }
    this->Arrive(origin);
  });
}

inline void RoutingSimulation::ScheduleHeartbeats() {
  for (int endpoint = 0; endpoint < kEndpoints; ++endpoint) {
    for (int number = 0; number < kOrigins; ++number) {
      if (this->IsCut(number, endpoint)) {
        continue;
      }
      this->origins[static_cast<std::size_t>(number)]->peers.ReportHeartbeat(
          this->time.Now(),
          {.from = AddressOf(endpoint),
           .incarnation = this->endpoints[static_cast<std::size_t>(endpoint)]
                                      .warmup_start > 0s
                              ? 2U
                              : 1U,
           .load = this->LoadOf(endpoint)});
    }
  }
  if (this->time.Now() < kEnd) {
    this->time.After(kHeartbeat, [this] { this->ScheduleHeartbeats(); });
  }
}

inline void RoutingSimulation::RestartThird() {
  // What runs there ends at its usual time; only the coldness counts here.
  for (int number = 0; number < kEndpoints; ++number) {
    if (this->IsFaulty(number)) {
      this->endpoints[static_cast<std::size_t>(number)].warmup_start =
          this->time.Now();
    }
  }
}

inline void RoutingSimulation::Arrive(int origin) {
  auto request = std::make_shared<Request>(
      Request{.origin = origin, .arrived = this->time.Now()});
  this->Send(request, -1);
  this->time.After(kDeadline, [this, request] { this->Expire(request); });
}

inline int RoutingSimulation::Pick(int origin, int except) {
  auto& sender = *this->origins[static_cast<std::size_t>(origin)];
  switch (this->options.policy) {
    case RoutingPolicy::kRandom:
      return static_cast<int>(this->random.Below(kEndpoints));
    case RoutingPolicy::kRoundRobin:
      return sender.next++ % kEndpoints;
    case RoutingPolicy::kBestOfTwoWithoutAges:
      return this->PickBestOfTwo(origin);
    case RoutingPolicy::kAgaterun:
      break;
  }
  const std::vector<NodeAddress> excluded = {AddressOf(except)};
  const auto node = sender.picker.Pick(
      this->time.Now(), this->service,
      {.excluded = std::span(excluded).subspan(except < 0 ? 1 : 0)});
  return node ? node->port - 1 : -1;
}

inline int RoutingSimulation::PickBestOfTwo(int origin) {
  const auto load = [&](int endpoint) {
    const auto& peer =
        this->origins[static_cast<std::size_t>(origin)]->peers.At(
            AddressOf(endpoint));
    return peer.in_flight + static_cast<int>(peer.load.running) +
           static_cast<int>(peer.load.queued);
  };
  const auto first = static_cast<int>(this->random.Below(kEndpoints));
  const auto second = static_cast<int>(this->random.Below(kEndpoints));
  return load(second) < load(first) ? second : first;
}

inline void RoutingSimulation::Send(const std::shared_ptr<Request>& request,
                                    int except) {
  const int endpoint = this->Pick(request->origin, except);
  if (endpoint < 0) {
    if (request->under_way == 0 && !request->ended) {
      request->ended = true;
      this->Count(*request, false);
    }
    return;
  }
  auto attempt = std::make_shared<Attempt>(Attempt{
      .request = request, .endpoint = endpoint, .sent = this->time.Now()});
  ++request->under_way;
  this->open.push_back(attempt);
  this->origins[static_cast<std::size_t>(request->origin)]
      ->peers.RecordAttemptStarted(this->time.Now(), AddressOf(endpoint));
  const auto distance = this->DistanceOf(request->origin, endpoint);
  if (request->arrived >= kStart) {
    ++this->result.attempts;
    this->result.to_faulty += this->IsFaulty(endpoint) ? 1 : 0;
    this->result.cross_domain += distance == kOtherDomain ? 1 : 0;
  }
  this->time.After(distance, [this, attempt] { this->Reach(attempt); });
  if (this->options.hedge_after > Duration{} && except < 0) {
    this->time.After(this->options.hedge_after, [this, request, endpoint] {
      if (!request->ended) {
        this->Send(request, endpoint);
      }
    });
  }
}

inline void RoutingSimulation::Reach(const AttemptPointer& attempt) {
  auto& endpoint = this->endpoints[static_cast<std::size_t>(attempt->endpoint)];
  if (attempt->cancelled ||
      this->IsCut(attempt->request->origin, attempt->endpoint)) {
    return;
  }
  if (this->options.fault == RoutingCase::kFailsFast &&
      this->IsFaulty(attempt->endpoint)) {
    this->Reply(attempt, true);
    return;
  }
  if (endpoint.running < kSlots) {
    this->Serve(attempt);
  } else if (endpoint.queue.size() < kQueue) {
    endpoint.queue.push_back(attempt);
  } else {
    this->Reply(attempt, false);
  }
}

inline void RoutingSimulation::Serve(const AttemptPointer& attempt) {
  auto& endpoint = this->endpoints[static_cast<std::size_t>(attempt->endpoint)];
  ++endpoint.running;
  this->time.After(this->ServiceTime(attempt->endpoint), [this, attempt] {
    auto& server = this->endpoints[static_cast<std::size_t>(attempt->endpoint)];
    --server.running;
    while (!server.queue.empty()) {
      const auto next = server.queue.front();
      server.queue.pop_front();
      if (!next->cancelled) {
        this->Serve(next);
        break;
      }
    }
    this->Reply(attempt, true);
  });
}

inline void RoutingSimulation::Reply(const AttemptPointer& attempt,
                                     bool completed) {
  this->time.After(
      this->DistanceOf(attempt->request->origin, attempt->endpoint),
      [this, attempt, completed] { this->Take(attempt, completed); });
}

inline void RoutingSimulation::Take(const AttemptPointer& attempt,
                                    bool completed) {
  if (attempt->cancelled ||
      this->IsCut(attempt->request->origin, attempt->endpoint)) {
    return;
  }
  auto& request = *attempt->request;
  auto& origin = *this->origins[static_cast<std::size_t>(request.origin)];
  const auto now = this->time.Now();
  const auto address = AddressOf(attempt->endpoint);
  origin.peers.ReportLoad(now, address, this->LoadOf(attempt->endpoint));
  --request.under_way;
  const bool useless = this->options.fault == RoutingCase::kFailsFast &&
                       this->IsFaulty(attempt->endpoint);
  if (completed) {
    origin.peers.RecordAttemptCompleted(now, address, now - attempt->sent,
                                        useless);
    if (!useless) {
      origin.picker.Observe(this->service->name, now - attempt->sent);
    }
  } else {
    origin.peers.RecordAttemptRefused(now, address, Reason::kOverloaded);
  }
  attempt->cancelled = true;
  if (request.ended || (!completed && request.under_way > 0)) {
    return;
  }
  request.ended = true;
  this->Count(request, completed && !useless);
  this->Expire(attempt->request);
}

inline void RoutingSimulation::Expire(const std::shared_ptr<Request>& request) {
  if (!request->ended) {
    request->ended = true;
    this->Count(*request, false);
  }
  std::erase_if(this->open, [&](const auto& attempt) {
    if (attempt->request != request) {
      return attempt->cancelled;
    }
    if (!attempt->cancelled) {
      attempt->cancelled = true;
      this->origins[static_cast<std::size_t>(request->origin)]
          ->peers.RecordAttemptAbandoned(this->time.Now(),
                                         AddressOf(attempt->endpoint),
                                         this->time.Now() - attempt->sent);
    }
    return true;
  });
}

inline Duration RoutingSimulation::ServiceTime(int endpoint) {
  // Erlang of order four: a mean of kServiceTime, twice that now and then.
  double sum = 0;
  for (int stage = 0; stage < 4; ++stage) {
    sum -= std::log(1 - this->random.Unit()) / 4;
  }
  if (this->IsFaulty(endpoint)) {
    if (this->options.fault == RoutingCase::kGrey) {
      sum *= 20;
    } else if (this->options.fault == RoutingCase::kLyingSlow) {
      sum *= 5;
    }
  }
  const auto cold =
      this->time.Now() -
      this->endpoints[static_cast<std::size_t>(endpoint)].warmup_start;
  if (cold < kWarmUp) {
    sum *= 1 + 9 * (1 - ToSeconds(cold) / ToSeconds(kWarmUp));
  }
  return std::chrono::duration_cast<Duration>(kServiceTime * sum);
}

inline LoadReport RoutingSimulation::LoadOf(int endpoint) const {
  const auto& server = this->endpoints[static_cast<std::size_t>(endpoint)];
  const bool lies = this->IsFaulty(endpoint) &&
                    (this->options.fault == RoutingCase::kLying ||
                     this->options.fault == RoutingCase::kLyingSlow);
  if (lies) {
    return {.limit = 10 * kSlots};
  }
  return {.running = static_cast<std::uint32_t>(server.running),
          .queued = static_cast<std::uint32_t>(server.queue.size()),
          .limit = kSlots};
}

inline void RoutingSimulation::Count(const Request& request, bool in_time) {
  if (request.arrived < kStart || request.arrived >= kEnd) {
    return;
  }
  ++this->result.requests;
  if (in_time) {
    ++this->result.in_time;
    this->result.latencies.push_back(this->time.Now() - request.arrived);
  } else {
    ++this->result.refused;
  }
}

}  // namespace agaterun::decision

#endif  // BENCHMARKS_ROUTING_SIMULATION_H_
