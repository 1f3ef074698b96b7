#include <chrono>
#include <cstdio>
#include <string>

#include "tests/decision/gate_simulation.h"

// Measures the gate alone: the cost of one admission by queue length, and on
// virtual time goodput and recovery with mechanisms switched off in turn.
// Prints CSV.
namespace agaterun::decision {

namespace {

struct Case {
  const char* name;
  double surge;
  double slowdown;
  int published_slots;
  double variation;
  int resends;
  double shortest_deadline = 1;
};

constexpr int kSlots = 25;

constexpr Case kCases[] = {
    {"surge 2x", 2, 1, kSlots, 0, 0},
    {"surge 10x", 10, 1, kSlots, 0, 0},
    {"slow 5x", 1, 5, kSlots, 0, 0},
    {"slow 5x and surge 2x", 2, 5, kSlots, 0, 0},
    {"surge 10x exponential", 10, 1, kSlots, 1, 0},
    {"slow 5x and surge 2x exponential", 2, 5, kSlots, 1, 0},
    {"surge 2x with 5 resends", 2, 1, kSlots, 0.5, 5},
    {"surge 2x published half", 2, 1, kSlots / 2, 0.5, 0},
    {"surge 2x published double", 2, 1, kSlots * 2, 0.5, 0},
    {"slow 5x mixed deadlines", 1, 5, kSlots, 0.5, 0, 0.2},
    {"surge 10x mixed deadlines", 10, 1, kSlots, 0.5, 0, 0.2},
    {"slow 5x and surge 2x published half", 2, 5, kSlots / 2, 0.5, 0},
    {"slow 5x and surge 2x published double", 2, 5, kSlots * 2, 0.5, 0},
};

constexpr std::uint64_t kSeeds = 5;

// One row per case: means over the seeds, but for the longest recovery.
void Sweep(const char* off, MechanismSet disabled) {
  for (const auto& row : kCases) {
    double goodput = 0;
    double settled = 0;
    Duration recovery{};
    double wasted = 0;
    double critical = 0;
    double limit = 0;
    int inversions = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      GateSimulation simulation({.published_slots = row.published_slots,
                                 .backend = {.slots = kSlots,
                                             .service_time = 200ms,
                                             .variation = row.variation},
                                 .deadline = 2s,
                                 .shortest_deadline = row.shortest_deadline,
                                 .resends = row.resends,
                                 .seed = seed,
                                 .disabled = disabled,
                                 .surge = row.surge,
                                 .slowdown = row.slowdown});
      simulation.Run();
      const double bound = simulation.Bound(true) * kSeeds;
      goodput += simulation.Goodput(5s, 15s) / bound;
      settled += simulation.Goodput(7s, 15s) / bound;
      recovery = std::max(recovery, simulation.RecoveryTime());
      wasted += simulation.WastedFraction() / kSeeds;
      const auto& count = simulation.ByClass(Importance::kCritical);
      critical += static_cast<double>(count.completed) / count.offered / kSeeds;
      limit += simulation.MeanLimit() / kSeeds;
      inversions += simulation.Inversions();
    }
    std::printf("%s,%s,%.3f,%.3f,%.2f,%.4f,%.4f,%.1f,%d\n", off, row.name,
                goodput, settled, ToSeconds(recovery), wasted, critical, limit,
                inversions);
  }
}

void MeasureAdmission(std::size_t queued) {
  GateHarness harness({.slots = 1,
                       .queue_time = 1000s,
                       .disabled = {Mechanism::kAdaptiveLimit}});
  auto request = harness.Request();
  request.remaining = 3600s;
  request.share = "cascadia";
  harness.Arrive(request);
  while (harness.gate.Load().queued < queued) {
    auto waiting = request;
    waiting.attempt = harness.Request().attempt;
    harness.Arrive(waiting);
  }
  constexpr int kRounds = 200000;
  const auto start = std::chrono::steady_clock::now();
  // Each round admits one request to the queue and starts one from it.
  for (int round = 0; round < kRounds; ++round) {
    request.attempt.call += 1000000;
    harness.Arrive(request);
    VisitId running{};
    for (const auto& action : harness.actions) {
      if (const auto* started = std::get_if<StartBackend>(&action)) {
        running = started->visit;
      }
    }
    if (running != VisitId{}) {
      harness.actions.clear();
      harness.Answer(running);
    }
  }
  const Duration spent = std::chrono::steady_clock::now() - start;
  std::printf("%zu,%.0f\n", queued,
              static_cast<double>(spent.count()) / kRounds);
}

}  // namespace

}  // namespace agaterun::decision

int main(int argc, char** argv) {
  using namespace agaterun::decision;  // NOLINT(google-build-using-namespace)
  const std::string what = argc > 1 ? argv[1] : "all";
  if (what == "cost" || what == "all") {
    std::printf("queued,nanoseconds per admission and start\n");
    for (const std::size_t queued : {0, 10, 100, 1000}) {
      MeasureAdmission(queued);
    }
  }
  if (what == "sweep" || what == "all") {
    std::printf(
        "off,case,goodput of bound,goodput after 2 s,longest recovery s,"
        "wasted part,critical completed,mean limit,inversions\n");
    Sweep("none", {});
    for (const auto mechanism :
         {Mechanism::kAdaptiveLimit, Mechanism::kThreshold,
          Mechanism::kNewestFirst, Mechanism::kDisplacement,
          Mechanism::kDeadlineCheck, Mechanism::kConcurrencyLimit}) {
      Sweep(std::string(NameOf(kMechanismNames, mechanism)).c_str(),
            {mechanism});
    }
  }
  return 0;
}
