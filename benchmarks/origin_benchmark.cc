// Measures routing on virtual time and the cost of one decision; prints CSV.
#include <chrono>
#include <cstdio>
#include <string_view>

#include "benchmarks/routing_simulation.h"
#include "libraries/decision/origin.h"
#include "tests/decision/origin_fixture.h"

namespace agaterun::decision {

namespace {

void PrintRouting(const char* table, const RoutingOptions& options) {
  auto result = RoutingSimulation(options).Run();
  std::printf("%s,%s,%s,%.2f,%.0f,%d,%.4f,%.4f,%.4f,%.4f,%.2f,%.2f,%.2f\n",
              table, NameOf(kRoutingCaseNames, options.fault).data(),
              NameOf(kRoutingPolicyNames, options.policy).data(), options.load,
              ToMilliseconds(options.hedge_after), result.requests,
              static_cast<double>(result.in_time) / result.requests,
              static_cast<double>(result.attempts) / result.requests,
              static_cast<double>(result.to_faulty) / result.attempts,
              static_cast<double>(result.cross_domain) / result.attempts,
              ToMilliseconds(result.Percentile(0.5)),
              ToMilliseconds(result.Percentile(0.99)),
              ToMilliseconds(result.Percentile(0.999)));
}

void PrintRoutingHeader() {
  std::printf(
      "table,case,policy,load,hedge_ms,requests,in_time,attempts_per_request,"
      "to_faulty,cross_domain,p50_ms,p99_ms,p999_ms\n");
}

void PrintPolicy(RoutingPolicy policy) {
  for (const auto& fault : kRoutingCaseNames) {
    for (const double load : {0.5, 0.8}) {
      PrintRouting("routing",
                   {.policy = policy, .fault = fault.value, .load = load});
    }
  }
}

void PrintHedging() {
  for (const auto fault :
       {RoutingCase::kNormal, RoutingCase::kGrey, RoutingCase::kColdThird}) {
    for (const double load : {0.5, 0.8, 1.1}) {
      for (const Duration hedge_after : {0ms, 40ms, 80ms}) {
        PrintRouting(
            "hedging",
            {.fault = fault, .load = load, .hedge_after = hedge_after});
      }
    }
  }
}

// Nanoseconds of one `step` on this machine.
template <typename Step>
double TimeOf(const Step& step) {
  constexpr int kSteps = 200000;
  const auto start = std::chrono::steady_clock::now();
  for (int count = 0; count < kSteps; ++count) {
    step(count);
  }
  const std::chrono::duration<double, std::nano> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count() / kSteps;
}

void PrintCost(int endpoints) {
  SeededRandom random(1);
  FakeParents parents;
  PeerTable peers;
  const SubsetOrigin self = {
      .self = NodeOf(999), .region = "cascadia", .failure_domain = "domain0"};
  Origin origin({.self = self.self,
                 .incarnation = 1,
                 .region = self.region,
                 .failure_domain = self.failure_domain},
                parents, peers, random);
  auto service = MakeService("drafts", endpoints, 1, 3);
  auto state = std::make_shared<TicketState>();
  AddTo(*state, service);
  origin.SetState(state);
  const std::shared_ptr<const ServiceState> routed = service;
  EndpointPicker picker({.origin = self}, peers, random);
  PathThresholds thresholds({});
  Instant now = 10s;
  for (const auto& endpoint : service->endpoints) {
    peers.ReportLoad(now, endpoint.node, {.running = 10, .limit = 80});
  }
  double sink = 0;
  const double pick = TimeOf([&](int) {
    now += 1us;
    sink += picker.Pick(now, routed, {})->port;
  });
  const double shed = TimeOf([&](int count) {
    sink += thresholds
                    .Decide(now, "drafts", "read", Importance::kNormal,
                            static_cast<std::uint16_t>(count % 256), random)
                    .admitted
                ? 1
                : 0;
  });
  // With a strict threshold learned, a key has to be looked up.
  thresholds.RecordReport(
      now, "drafts", "read",
      {{"ledger", {.cutoff = Importance::kNormal, .keys = 128}}}, {});
  const double shedding = TimeOf([&](int count) {
    sink += thresholds
                    .Decide(now, "drafts", "read", Importance::kNormal,
                            static_cast<std::uint16_t>(count % 256), random)
                    .admitted
                ? 1
                : 0;
  });
  Actions actions;
  const double whole = TimeOf([&](int count) {
    now += 10us;
    actions.clear();
    const auto id = static_cast<CallId>(count) + 1;
    origin.OnCallArrived(
        now,
        {.call = id, .service = "drafts", .method = "GET", .path = "/read/1"},
        actions);
    const auto attempt = std::get<SendAttempt>(actions.at(0)).request.attempt;
    origin.OnAttemptReplied(now,
                            {.reply = {.attempt = attempt,
                                       .outcome = Outcome::kCompleted,
                                       .load = {.running = 10, .limit = 80}},
                             .answer = MakeAnswer()},
                            actions);
    sink += static_cast<double>(actions.size());
  });
  const auto members = ChooseSubset(service->endpoints, self).size();
  std::printf("cost,%d,%zu,%.0f,%.0f,%.0f,%.0f,%zu\n", endpoints, members, pick,
              shed, shedding, whole, EndpointPicker::BytesPerEndpoint());
  if (sink < 0) {
    std::printf("\n");
  }
}

}  // namespace

}  // namespace agaterun::decision

int main(int argc, char** argv) {
  // "cost" or "agaterun" prints just that part.
  const std::string_view part = argc > 1 ? argv[1] : "";
  if (part != "cost") {
    agaterun::decision::PrintRoutingHeader();
    for (const auto& policy : agaterun::decision::kRoutingPolicyNames) {
      if (part.empty() || part == policy.name) {
        agaterun::decision::PrintPolicy(policy.value);
      }
    }
  }
  if (part.empty()) {
    agaterun::decision::PrintHedging();
  }
  if (!part.empty() && part != "cost") {
    return 0;
  }
  std::printf(
      "table,endpoints,subset,pick_ns,threshold_ns,threshold_shedding_ns,"
      "whole_call_ns,bytes_per_endpoint\n");
  for (const int endpoints : {3, 30, 100}) {
    agaterun::decision::PrintCost(endpoints);
  }
  return 0;
}
