#include "libraries/decision/admission.h"

#include <algorithm>
#include <cmath>

namespace agaterun::decision {

namespace {

// Bounds the memory of the queue, whatever the slots and service times are.
constexpr std::size_t kMaxQueueCapacity = 1024;

// A shorter queue would refuse bursts that the slots can absorb.
constexpr std::size_t kMinQueueCapacity = 4;

// Limit in force while the concurrency limit is disabled.
constexpr int kUnlimited = 1 << 20;

// One slot in kReservedSlotDivisor is reserved for requests that the threshold
// admits.
constexpr int kReservedSlotDivisor = 8;

// Once the oldest visit of a share has waited for the queue time divided by
// this, the newest goes first.
constexpr int kNewestFirstDivisor = 4;

}  // namespace

Admission::Admission(Options options, RandomSource& random)
    : options(options),
      limit({.slots = 1, .adaptive = this->Enabled(Mechanism::kAdaptiveLimit)}),
      queue({.newest_first = this->Enabled(Mechanism::kNewestFirst),
             .fair_shares = this->Enabled(Mechanism::kFairShares)}),
      retry_after(random) {}

void Admission::SetState(const ServiceState& service,
                         std::map<std::string, double, std::less<>> weights) {
  this->limit.SetSlots(std::max(1, service.slots));
  this->queue_time = service.queue_time;
  this->queue.SetNewestFirstAfter(service.queue_time / kNewestFirstDivisor);
  this->weights = std::move(weights);
}

int Admission::Limit() const {
  return this->Enabled(Mechanism::kConcurrencyLimit) ? this->limit.Limit()
                                                     : kUnlimited;
}

double Admission::WeightOf(std::string_view share) const {
  const auto found = this->weights.find(share);
  if (found == this->weights.end() || !(found->second > 0)) {
    return 1;
  }
  return found->second;
}

std::size_t Admission::QueueCapacity(Instant now) const {
  const Duration service = this->service_times.ExpectedForAnyRoute(now);
  if (service <= Duration{}) {
    return kMaxQueueCapacity;
  }
  const double servable =
      ToSeconds(this->queue_time) / ToSeconds(service) * this->Limit();
  return std::clamp(static_cast<std::size_t>(std::min(servable, 1e6)),
                    kMinQueueCapacity, kMaxQueueCapacity);
}

bool Admission::CanFinish(Instant now,
                          std::string_view route,
                          Instant deadline) const {
  if (deadline <= now) {
    return false;
  }
  if (!this->Enabled(Mechanism::kDeadlineCheck)) {
    return true;
  }
  return now + this->service_times.Expected(now, route) <= deadline;
}

Instant Admission::QueueDeadline(Instant now,
                                 const Candidate& candidate) const {
  return std::min(now + this->queue_time, candidate.deadline);
}

Admission::Decision Admission::Decide(Instant now, const Candidate& candidate) {
  this->threshold.OnArrival(now, candidate.importance, candidate.admission_key);
  if (!this->CanFinish(now, candidate.route, candidate.deadline)) {
    return {.reason = Reason::kDeadlineExceeded};
  }
  if (this->queue.Size() == 0 &&
      this->HasFreeSlot(now, candidate.importance, candidate.admission_key)) {
    return {.verdict = Verdict::kStart};
  }
  if (this->Enabled(Mechanism::kThreshold) &&
      !Admits(this->threshold.Threshold(now), candidate.importance,
              candidate.admission_key)) {
    return {.reason = Reason::kOverloaded};
  }
  if (this->queue.Size() < this->QueueCapacity(now)) {
    return {.verdict = Verdict::kQueue};
  }
  this->threshold.OnOverload(now, candidate.importance,
                             candidate.admission_key);
  if (!this->Enabled(Mechanism::kDisplacement)) {
    return {.reason = Reason::kOverloaded};
  }
  const auto displaced_visit =
      this->queue.FindDisplaceable(candidate.importance);
  if (!displaced_visit) {
    return {.reason = Reason::kOverloaded};
  }
  return {.verdict = Verdict::kQueue, .displaced = displaced_visit};
}

bool Admission::HasFreeSlot(Instant now,
                            Importance importance,
                            std::uint16_t key) {
  const int limit = this->Limit();
  if (Admits(this->Threshold(now), importance, key)) {
    return this->running < limit;
  }
  // A request that the threshold refuses may still take a slot that would
  // otherwise stay idle. It serves as the probe that shows whether the overload
  // is over. Some slots stay reserved for requests that the threshold admits,
  // which would otherwise have to wait for the probe to finish.
  return this->running < limit - std::max(1, limit / kReservedSlotDivisor);
}

bool Admission::MayExtendWait(Instant now, const Candidate& candidate) {
  if (candidate.importance == Importance::kBackground) {
    return false;
  }
  // A freed slot goes to less important work only if nothing more important
  // waits. So a request must not be refused here ahead of less important ones
  // that are still admitted.
  const auto threshold = this->Threshold(now);
  const bool whole_class_admitted = candidate.importance < threshold.cutoff ||
                                    (candidate.importance == threshold.cutoff &&
                                     threshold.keys == kAdmissionKeys);
  return whole_class_admitted &&
         this->CanFinish(now, candidate.route, candidate.deadline);
}

bool Admission::WouldAdmit(Instant now,
                           Importance importance,
                           std::uint16_t key) {
  return Admits(this->Threshold(now), importance, key) ||
         (this->queue.Size() == 0 && this->HasFreeSlot(now, importance, key));
}

void Admission::Push(Instant now, VisitId visit, const Candidate& candidate) {
  this->queue.Push({.visit = visit,
                    .importance = candidate.importance,
                    .share = std::string(candidate.share),
                    .weight = this->WeightOf(candidate.share),
                    .arrived = now});
}

std::optional<VisitId> Admission::Pop(Instant now) {
  if (this->running >= this->Limit()) {
    return std::nullopt;
  }
  return this->queue.Pop(now);
}

std::optional<VisitId> Admission::FindLessImportant(
    Importance importance) const {
  if (importance == Importance::kBackground) {
    return std::nullopt;
  }
  return this->queue.FindDisplaceable(
      static_cast<Importance>(static_cast<int>(importance) + 1));
}

void Admission::OnStart(Instant now) {
  ++this->running;
  this->threshold.OnStart(now);
  this->threshold.OnRunning(now, this->running, this->Limit());
  this->retry_after.OnStart(now);
}

void Admission::OnFinished(Instant now,
                           std::string_view route,
                           Duration total_time,
                           Duration own_time) {
  this->service_times.Add(now, route, total_time);
  if (const Duration service = this->service_times.ExpectedForAnyRoute(now);
      service > Duration{}) {
    this->threshold.SetCapacity(this->limit.Limit() / ToSeconds(service));
  }
  this->limit.OnFinished(now, own_time, this->running);
  this->ReleaseSlot(now);
}

void Admission::OnAborted(Instant now,
                          std::string_view route,
                          Duration total_time,
                          Duration own_time) {
  this->service_times.AddUnfinished(now, route, total_time);
  this->limit.OnAborted(now, own_time, this->running);
  this->ReleaseSlot(now);
}

void Admission::OnNotRun(Instant now, bool shed) {
  if (shed) {
    this->limit.OnShed(now);
    this->threshold.OnShed(now);
  }
  this->ReleaseSlot(now);
}

void Admission::ReleaseSlot(Instant now) {
  --this->running;
  this->threshold.OnRunning(now, this->running, this->Limit());
}

Duration Admission::ComputeRetryAfter(Instant now) {
  return this->retry_after.OnRefusal(now, this->queue.Size());
}

AdmissionThreshold Admission::Threshold(Instant now) {
  if (!this->Enabled(Mechanism::kThreshold)) {
    return AdmissionThreshold{};
  }
  return this->threshold.Threshold(now);
}

}  // namespace agaterun::decision
