#include "libraries/admission/entry_admission.h"

#include <algorithm>
#include <utility>

namespace agaterun::admission {

namespace {

using decision::DemandPriority;
using decision::kDemandPriorities;
using decision::DemandKind;

// Demand is averaged over kSlices slices of this length.
constexpr Duration kSlice = 100ms;

// Fraction of the slots that is planned for admitted requests. The rest absorbs
// bursts of arrivals and differences between service times.
constexpr double kUsedShare = 0.95;

// A route with less mean slot time at a service is assumed not to need that
// service: it was called by a few stray requests.
constexpr Duration kLeastSlotTime = 500us;

// A caller that retries sooner did not wait for the retry-after time.
constexpr Duration kShortestRetryAfter = 200ms;

// The retry-after time is at most the caller's remaining time divided by this.
constexpr int kWaitParts = 3;

// A caller that has used less of its time than this is at its first attempt.
constexpr Duration kFirstAttempt = 20ms;

constexpr std::size_t kMostRoutes = 4096;

}  // namespace

void EntryAdmission::Meter::Advance(Instant now) {
  const auto slice = now / kSlice;
  if (this->first < 0) {
    this->first = slice;
    this->current = slice;
  }
  const auto steps =
      std::min<std::int64_t>(slice - this->current, std::int64_t{kSlices});
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index = static_cast<std::size_t>(
        (slice - steps + step) % static_cast<std::int64_t>(kSlices));
    this->slices[index] = {};
  }
  this->current = std::max(this->current, slice);
}

void EntryAdmission::Meter::Add(Instant now, int rank) {
  this->Advance(now);
  const auto index = static_cast<std::size_t>(
      this->current % static_cast<std::int64_t>(kSlices));
  this->slices[index][static_cast<std::size_t>(rank)] += 1;
}

EntryAdmission::Ranks EntryAdmission::Meter::Rate(Instant now) {
  this->Advance(now);
  Ranks sum{};
  for (const auto& slice : this->slices) {
    for (std::size_t rank = 0; rank < sum.size(); ++rank) {
      sum[rank] += slice[rank];
    }
  }
  // A new meter has measured for less than its whole window.
  const auto whole = std::min<std::int64_t>(this->current - this->first,
                                            std::int64_t{kSlices} - 1);
  const auto seen = kSlice * whole + now % kSlice;
  const double seconds = std::max(ToSeconds(seen), ToSeconds(kSlice));
  for (auto& value : sum) {
    value /= seconds;
  }
  return sum;
}

std::vector<EntryAdmission::ThrottledRoute> EntryAdmission::ThrottledRoutes() const {
  std::vector<ThrottledRoute> held;
  for (const auto& [route, entry] : this->admitted) {
    const double least =
        *std::min_element(entry.shares.begin(), entry.shares.end());
    if (least < 1) {
      const auto found = this->capacity.find(entry.service);
      const auto slots =
          found == this->capacity.end() ? Capacity{} : found->second;
      const auto planned = this->planned.find(entry.service);
      held.push_back(
          {.route = route,
           .service = entry.service,
           .share = least,
           .capacity = slots.slots,
           .used = slots.used,
           .planned = planned == this->planned.end() ? 0 : planned->second});
    }
  }
  return held;
}

double EntryAdmission::ShareOf(std::string_view route, int rank) const {
  const auto found = this->admitted.find(route);
  return found == this->admitted.end()
             ? 1
             : found->second.shares[static_cast<std::size_t>(rank)];
}

DemandKind EntryAdmission::StandingOf(const Request& request,
                                    const RouteCosts::Costs& known) const {
  if (!request.deadline) {
    return DemandKind::kNew;
  }
  const auto gone = known.longest_deadline - *request.deadline;
  if (gone < kFirstAttempt) {
    return DemandKind::kNew;
  }
  const bool waited = gone >= kShortestRetryAfter;
  const bool in_time = gone + known.latency <= request.target_latency;
  return waited && in_time ? DemandKind::kReturned : DemandKind::kLate;
}

Duration EntryAdmission::RetryAfter(const Request& request,
                                    const RouteCosts::Costs& known) {
  // Spreads retries over the time in which a retry can still meet the target
  // latency, so that they arrive neither together nor too late.
  const auto latest = request.target_latency - known.latency;
  auto most = std::max(latest, 2 * kShortestRetryAfter);
  if (request.deadline) {
    most = std::min(most, *request.deadline / kWaitParts);
  }
  const auto span = std::max(Duration{}, most - kShortestRetryAfter);
  return kShortestRetryAfter +
         std::chrono::duration_cast<Duration>(span * this->random.Unit());
}

EntryAdmission::Verdict EntryAdmission::Decide(Instant now,
                                               const Request& request) {
  if (request.deadline) {
    this->costs.NoteDeadline(request.route, *request.deadline);
  }
  const auto* known = this->costs.Find(request.route);
  if (known == nullptr || known->samples == 0) {
    return {};
  }
  Verdict verdict{.demand_kind = this->StandingOf(request, *known)};
  const auto rank = DemandPriority(request.importance, verdict.demand_kind);
  auto meter = this->own.find(request.route);
  if (meter == this->own.end()) {
    meter = this->own.emplace(std::string(request.route), Meter()).first;
  }
  meter->second.Add(now, rank);
  const double share = this->ShareOf(request.route, rank);
  if (share >= 1) {
    return verdict;
  }
  if (this->owed.size() > kMostRoutes) {
    this->owed.clear();
  }
  const auto [entry, is_new] =
      this->owed.try_emplace(std::string(request.route));
  auto& part = entry->second[static_cast<std::size_t>(rank)];
  if (is_new) {
    part = this->random.Unit();
  }
  part += share;
  if (part >= 1) {
    part -= 1;
    return verdict;
  }
  verdict.admitted = false;
  verdict.service = this->admitted.find(request.route)->second.service;
  verdict.retry_after = this->RetryAfter(request, *known);
  return verdict;
}

void EntryAdmission::Learn(std::string_view route,
                           const std::vector<decision::ServiceCost>& sample,
                           Duration latency,
                           bool succeeded) {
  this->costs.Learn(route, sample, latency, succeeded);
}

Demand EntryAdmission::OwnDemand(Instant now) {
  Demand demand;
  for (auto& [route, meter] : this->own) {
    demand[route] = meter.Rate(now);
  }
  return demand;
}

void EntryAdmission::AdmitRank(const Demand& demand,
                               std::size_t rank,
                               Slots& left) {
  Slots wanted;
  const auto for_each = [&](const auto& visit) {
    for (const auto& [route, ranks] : demand) {
      const auto* known = this->costs.Find(route);
      if (known != nullptr && ranks[rank] > 0) {
        visit(route, ranks[rank], known->services);
      }
    }
  };
  for_each(
      [&](const std::string& /*route*/, double rate, const auto& services) {
        for (const auto& [service, slot_time] : services) {
          wanted[service] += rate * ToSeconds(slot_time);
        }
      });
  Slots used;
  for_each([&](const std::string& route, double rate, const auto& services) {
    auto& entry = this->admitted[route];
    double share = 1;
    for (const auto& [service, slot_time] : services) {
      const auto room = left.find(service);
      const double part = room == left.end() || wanted[service] <= room->second
                              ? 1
                              : room->second / wanted[service];
      // A service that the route hardly uses doesn't limit it.
      if (part < share && slot_time > kLeastSlotTime) {
        share = part;
        entry.service = service;
      }
    }
    entry.shares[rank] = share;
    for (const auto& [service, slot_time] : services) {
      used[service] += share * rate * ToSeconds(slot_time);
    }
  });
  for (auto& [service, slots] : left) {
    slots = std::max(0.0, slots - used[service]);
  }
}

void EntryAdmission::Update(Instant now) {
  const auto demand = this->others.Total(now, this->OwnDemand(now));
  Slots left;
  for (const auto& [service, slots] : this->capacity) {
    // A service without usable nodes has no capacity at all: requests that need
    // it would only waste the slots of other services.
    left[service] =
        slots.slots * kUsedShare * this->correction.StretchOf(service);
  }
  const auto whole = left;
  this->admitted.clear();
  for (const auto& [route, ranks] : demand) {
    this->admitted[route].shares.fill(1);
  }
  for (std::size_t rank = 0; rank < kDemandPriorities; ++rank) {
    this->AdmitRank(demand, rank, left);
  }
  for (const auto& [service, slots] : this->capacity) {
    const double planned = whole.at(service) - left.at(service);
    this->planned[service] = planned;
    this->correction.Note(
        now, service,
        {.there = slots.slots, .planned = planned, .used = slots.used});
  }
}

}  // namespace agaterun::admission
