#ifndef TESTS_DECISION_GATE_SIMULATION_H_
#define TESTS_DECISION_GATE_SIMULATION_H_

#include <array>
#include <functional>
#include <unordered_map>
#include <vector>

#include "tests/decision/gate_harness.h"
#include "tests/decision/virtual_backend.h"

namespace agaterun::decision {

// One gate in front of a virtual backend server, under open-loop demand.
// Callers resend refused requests up to a configured number of times.
class GateSimulation {
 public:
  struct Options {
    int published_slots = 10;
    VirtualBackend::Options backend = {};
    // Demand outside the trigger, as a fraction of the true capacity.
    double load = 0.8;
    Duration deadline = 500ms;
    // Fraction of `deadline`; deadlines are uniformly distributed from it up to
    // `deadline`.
    double shortest_deadline = 1;
    Duration queue_time = 100ms;
    // Demand of one share as a multiple of the demand of each of three other
    // shares. At 0 all requests belong to one share.
    double greedy_share_factor = 0;
    // Fraction of the demand by class.
    std::array<double, kImportanceCount> mix = {0.1, 0.2, 0.5, 0.2};
    int resends = 0;  // Sent immediately, without waiting for Retry-After.
    bool origin_sheds = true;  // The origin applies the reported threshold.
    std::uint64_t seed = 1;
    MechanismSet disabled = {};
    // Time and size of the trigger.
    Duration trigger_start = 5s;
    Duration trigger_end = 15s;
    Duration end = 25s;
    double surge = 1;
    double slowdown = 1;
  };

  static constexpr Duration kBinLength = 100ms;

  struct Count {
    int offered = 0;
    int completed = 0;  // Before the deadline.
    int refused = 0;
    int late = 0;
  };

  explicit GateSimulation(const Options& options)
      : options(options),
        random(options.seed),
        harness({.slots = options.published_slots,
                 .queue_time = options.queue_time,
                 .seed = options.seed + 1,
                 .disabled = options.disabled}),
        backend(options.backend, random),
        bins(static_cast<std::size_t>(options.end / kBinLength) + 100) {}

  void Run() {
    Instant next_arrival = this->RandomGap(0s);
    while (true) {
      Instant next = next_arrival;
      const auto end = this->backend.NextFinishTime();
      const auto wake = this->harness.gate.NextWake();
      next = std::min({next, end.value_or(next), wake.value_or(next)});
      if (next >= this->options.end) {
        return;
      }
      this->harness.now = std::max(this->harness.now, next);
      const Instant now = this->harness.now;
      this->backend.SetSlowdown(this->InTrigger(now) ? this->options.slowdown
                                                     : 1);
      if (end == next) {
        this->harness.Answer(this->backend.FinishNext());
      } else if (wake && *wake <= next) {
        this->harness.gate.OnTick(now, this->harness.actions);
      } else {
        ++this->bins.at(static_cast<std::size_t>(now / kBinLength)).offered;
        this->Arrive(now, this->PickImportance(), this->options.resends);
        next_arrival = now + this->RandomGap(now);
      }
      this->Apply(now);
    }
  }

  bool InTrigger(Instant now) const {
    return now >= this->options.trigger_start &&
           now < this->options.trigger_end;
  }

  // Capacity in requests per second with all slots busy.
  double Capacity(bool in_trigger) const {
    return this->options.backend.slots /
           (ToSeconds(this->options.backend.service_time) *
            (in_trigger ? this->options.slowdown : 1));
  }

  // Upper bound of the goodput in requests per second.
  double Bound(bool in_trigger) const {
    const double demand = this->options.load * this->Capacity(false) *
                          (in_trigger ? this->options.surge : 1);
    return std::min(demand, this->Capacity(in_trigger));
  }

  // Requests completed before their deadline, per second within [from, to).
  double Goodput(Instant from, Instant to) const {
    double sum = 0;
    for (auto index = from / kBinLength; index < to / kBinLength; ++index) {
      sum += this->bins.at(static_cast<std::size_t>(index)).completed;
    }
    return sum / ToSeconds(to - from);
  }

  // New requests of callers, without resends, per second within [from, to).
  double Demand(Instant from, Instant to) const {
    double sum = 0;
    for (auto index = from / kBinLength; index < to / kBinLength; ++index) {
      sum += this->bins.at(static_cast<std::size_t>(index)).offered;
    }
    return sum / ToSeconds(to - from);
  }

  // Time from the trigger's end until the goodput reaches 95% of the goodput
  // before the trigger for one second, or the rest of the run if it never does.
  // In a second with less demand than that, 95% of the demand must be
  // completed.
  Duration RecoveryTime() const {
    const double baseline = this->Goodput(1s, this->options.trigger_start);
    for (Instant at = this->options.trigger_end; at + 1s <= this->options.end;
         at += kBinLength) {
      const double required = std::min(baseline, this->Demand(at, at + 1s));
      if (this->Goodput(at, at + 1s) >= required * 0.95) {
        return at - this->options.trigger_end;
      }
    }
    return this->options.end - this->options.trigger_end;
  }

  const Count& ByClass(Importance importance) const {
    return this->classes.at(static_cast<std::size_t>(importance));
  }

  // Fraction of the slot time spent on requests that did not complete before
  // their deadline.
  double WastedFraction() const {
    return ToSeconds(this->wasted_time) /
           std::max(1e-9, ToSeconds(this->wasted_time + this->useful_time));
  }

  GateHarness& Harness() { return this->harness; }
  int LowestLimit() const { return this->lowest_limit; }
  int HighestLimit() const { return this->highest_limit; }
  double MeanLimit() const { return this->limit_sum / this->limit_count; }
  std::map<std::string, int> completed_by_share;

  // Refusals of the most important class by reason; kNone stands for a refusal
  // at the origin.
  std::map<Reason, int> refusals;

  // Number of requests refused as overloaded while a less important one was
  // queued.
  int Inversions() const { return this->inversions; }

 private:
  struct Pending {
    Instant arrived{};
    Instant started{};
    Importance importance = Importance::kNormal;
    std::string share;
    int resends = 0;
    bool running = false;
  };

  Duration RandomGap(Instant now) {
    const double rate = this->options.load * this->Capacity(false) *
                        (this->InTrigger(now) ? this->options.surge : 1);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        -std::log(1 - this->random.Unit()) / rate));
  }

  Importance PickImportance() {
    double remaining_draw = this->random.Unit();
    for (int index = 0; index < kImportanceCount; ++index) {
      remaining_draw -= this->options.mix.at(static_cast<std::size_t>(index));
      if (remaining_draw < 0) {
        return static_cast<Importance>(index);
      }
    }
    return Importance::kBackground;
  }

  std::string PickShare() {
    if (this->options.greedy_share_factor == 0) {
      return "";
    }
    const double pick =
        this->random.Unit() * (this->options.greedy_share_factor + 3);
    return pick < this->options.greedy_share_factor
               ? "greedy"
               : "modest" + std::to_string(static_cast<int>(
                                pick - this->options.greedy_share_factor));
  }

  void Arrive(Instant now, Importance importance, int resends) {
    auto request = this->harness.Request();
    request.importance = importance;
    request.admission_key =
        static_cast<std::uint16_t>(this->random.Below(kAdmissionKeys));
    const double shortest_fraction = this->options.shortest_deadline;
    const double fraction =
        shortest_fraction == 1
            ? 1
            : shortest_fraction + (1 - shortest_fraction) * this->random.Unit();
    request.remaining =
        std::chrono::duration_cast<Duration>(this->options.deadline * fraction);
    request.share = this->PickShare();
    ++this->classes.at(static_cast<std::size_t>(importance)).offered;
    if (this->options.origin_sheds &&
        !Admits(this->reported_threshold, importance, request.admission_key) &&
        this->random.Below(50) != 0) {
      this->RecordReason(importance, Reason::kNone);
      this->HandleRefusal(now, importance, resends);
      return;
    }
    this->pending[request.attempt.call] = {.arrived = now,
                                           .importance = importance,
                                           .share = request.share,
                                           .resends = resends};
    this->harness.Arrive(request);
  }

  void HandleRefusal(Instant now, Importance importance, int resends) {
    ++this->classes.at(static_cast<std::size_t>(importance)).refused;
    if (resends > 0) {
      this->Arrive(now, importance, resends - 1);
    }
  }

  void Apply(Instant now) {
    // Resends append actions during this loop.
    for (std::size_t index = 0; index < this->harness.actions.size(); ++index) {
      const Action action = this->harness.actions[index];
      if (const auto* start = std::get_if<StartBackend>(&action)) {
        auto& pending = this->pending.at(start->attempt.call);
        pending.running = true;
        pending.started = now;
        this->backend.Start(now, start->visit);
      } else if (const auto* abort = std::get_if<AbortBackend>(&action)) {
        this->backend.Abort(now, abort->visit);
      } else if (const auto* sent = std::get_if<ReplyToOrigin>(&action)) {
        this->OnReply(now, sent->reply);
      }
    }
    this->harness.actions.clear();
    const int limit = static_cast<int>(this->harness.gate.Load().limit);
    this->lowest_limit = std::min(this->lowest_limit, limit);
    this->highest_limit = std::max(this->highest_limit, limit);
    this->limit_sum += limit;
    ++this->limit_count;
  }

  void OnReply(Instant now, const VisitReply& reply) {
    const auto found = this->pending.find(reply.attempt.call);
    if (found == this->pending.end()) {
      return;
    }
    const Pending pending = found->second;
    this->pending.erase(found);
    this->reported_threshold = reply.thresholds.back().second;
    auto& count =
        this->classes.at(static_cast<std::size_t>(pending.importance));
    const Duration spent = pending.running ? now - pending.started : 0s;
    if (reply.outcome == Outcome::kCompleted) {
      ++count.completed;
      ++this->completed_by_share[pending.share];
      ++this->bins.at(static_cast<std::size_t>(now / kBinLength)).completed;
      this->useful_time += spent;
    } else if (reply.outcome == Outcome::kUnknown) {
      ++count.late;
      this->wasted_time += spent;
    } else {
      this->RecordInversion(reply, pending.importance);
      this->RecordReason(pending.importance, reply.reason);
      this->HandleRefusal(now, pending.importance, pending.resends);
    }
  }

  void RecordReason(Importance importance, Reason reason) {
    if (importance == Importance::kCritical) {
      ++this->refusals[reason];
    }
  }

  void RecordInversion(const VisitReply& reply, Importance importance) {
    if (reply.reason != Reason::kOverloaded) {
      return;
    }
    const bool lower_waits =
        std::ranges::any_of(this->pending, [&](const auto& item) {
          return !item.second.running && item.second.importance > importance;
        });
    this->inversions += lower_waits ? 1 : 0;
  }

  Options options;
  SeededRandom random;
  GateHarness harness;
  VirtualBackend backend;
  std::vector<Count> bins;
  std::array<Count, kImportanceCount> classes{};
  std::unordered_map<CallId, Pending> pending;
  AdmissionThreshold reported_threshold;
  Duration useful_time{};
  Duration wasted_time{};
  int lowest_limit = 1 << 20;
  int highest_limit = 0;
  double limit_sum = 0;
  double limit_count = 0;
  int inversions = 0;
};

}  // namespace agaterun::decision

#endif  // TESTS_DECISION_GATE_SIMULATION_H_
