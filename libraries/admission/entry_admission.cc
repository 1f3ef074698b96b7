#include "libraries/admission/entry_admission.h"

#include <algorithm>
#include <utility>

namespace agaterun::admission {

namespace {

using decision::DemandKind;
using decision::DemandPriority;
using decision::kDemandPriorities;

// Demand is averaged over kSlices slices of this length.
constexpr Duration kSliceDuration = 100ms;

// Fraction of the slots that is planned for admitted requests. The rest absorbs
// bursts of arrivals and differences between service times.
constexpr double kTargetUtilization = 0.95;

// A route with less mean slot time at a service is assumed not to need that
// service: it was called by a few stray requests.
constexpr Duration kMinSlotTime = 500us;

// A caller that retries sooner did not wait for the retry-after time.
constexpr Duration kMinRetryAfter = 200ms;

// The retry-after time is at most the caller's remaining time divided by this.
constexpr int kMaxWaitDivisor = 3;

// A caller that has used less of its time than this is at its first attempt.
constexpr Duration kFirstAttemptTolerance = 20ms;

constexpr std::size_t kMaxRoutes = 4096;

// Most priorities have none.
bool HasDemand(const Demand& demand, std::size_t priority) {
  return std::any_of(demand.begin(), demand.end(), [&](const auto& item) {
    return item.second[priority] > 0;
  });
}

}  // namespace

void EntryAdmission::RateMeter::Advance(Instant now) {
  const auto slice = now / kSliceDuration;
  if (this->first_slice < 0) {
    this->first_slice = slice;
    this->current_slice = slice;
  }
  const auto steps = std::min<std::int64_t>(slice - this->current_slice,
                                            std::int64_t{kSlices});
  for (std::int64_t step = 1; step <= steps; ++step) {
    const auto index = static_cast<std::size_t>(
        (slice - steps + step) % static_cast<std::int64_t>(kSlices));
    this->slices[index] = {};
  }
  this->current_slice = std::max(this->current_slice, slice);
}

void EntryAdmission::RateMeter::Add(Instant now, int priority) {
  this->Advance(now);
  const auto index = static_cast<std::size_t>(
      this->current_slice % static_cast<std::int64_t>(kSlices));
  this->slices[index][static_cast<std::size_t>(priority)] += 1;
}

EntryAdmission::Rates EntryAdmission::RateMeter::Rate(Instant now) {
  this->Advance(now);
  Rates sum{};
  for (const auto& slice : this->slices) {
    for (std::size_t priority = 0; priority < sum.size(); ++priority) {
      sum[priority] += slice[priority];
    }
  }
  // A new meter has measured for less than its whole window.
  const auto full_slices = std::min<std::int64_t>(
      this->current_slice - this->first_slice, std::int64_t{kSlices} - 1);
  const auto measured = kSliceDuration * full_slices + now % kSliceDuration;
  const double seconds =
      std::max(ToSeconds(measured), ToSeconds(kSliceDuration));
  for (auto& value : sum) {
    value /= seconds;
  }
  return sum;
}

std::vector<EntryAdmission::ThrottledRoute> EntryAdmission::ThrottledRoutes()
    const {
  std::vector<ThrottledRoute> held_back;
  for (const auto& [route, entry] : this->admissions) {
    const double min_fraction =
        *std::min_element(entry.fractions.begin(), entry.fractions.end());
    if (min_fraction < 1) {
      const auto found = this->capacity.find(entry.limiting_service);
      const auto slots =
          found == this->capacity.end() ? Capacity{} : found->second;
      const auto planned = this->planned.find(entry.limiting_service);
      held_back.push_back(
          {.route = route,
           .service = entry.limiting_service,
           .share = min_fraction,
           .capacity = slots.slots,
           .used = slots.used,
           .planned = planned == this->planned.end() ? 0 : planned->second});
    }
  }
  return held_back;
}

double EntryAdmission::AdmittedFraction(std::string_view route,
                                        int priority) const {
  const auto found = this->admissions.find(route);
  return found == this->admissions.end()
             ? 1
             : found->second.fractions[static_cast<std::size_t>(priority)];
}

DemandKind EntryAdmission::DemandKindOf(
    const Request& request,
    const RouteCosts::Costs& route_costs) const {
  if (!request.deadline) {
    return DemandKind::kNew;
  }
  const auto elapsed = route_costs.longest_deadline - *request.deadline;
  if (elapsed < kFirstAttemptTolerance) {
    return DemandKind::kNew;
  }
  const bool has_waited = elapsed >= kMinRetryAfter;
  const bool can_meet_target =
      elapsed + route_costs.latency <= request.target_latency;
  return has_waited && can_meet_target ? DemandKind::kReturned
                                       : DemandKind::kLate;
}

Duration EntryAdmission::DrawRetryAfter(const Request& request,
                                        const RouteCosts::Costs& route_costs) {
  // Spreads retries over the time in which a retry can still meet the target
  // latency, so that they arrive neither together nor too late.
  const auto latest = request.target_latency - route_costs.latency;
  auto max_wait = std::max(latest, 2 * kMinRetryAfter);
  if (request.deadline) {
    max_wait = std::min(max_wait, *request.deadline / kMaxWaitDivisor);
  }
  const auto span = std::max(Duration{}, max_wait - kMinRetryAfter);
  return kMinRetryAfter +
         std::chrono::duration_cast<Duration>(span * this->random.Unit());
}

EntryAdmission::Verdict EntryAdmission::Decide(Instant now,
                                               const Request& request) {
  if (request.deadline) {
    this->costs.RecordDeadline(request.route, *request.deadline);
  }
  const auto* route_costs = this->costs.Find(request.route);
  if (route_costs == nullptr || route_costs->sample_count == 0) {
    return {};
  }
  Verdict verdict{.demand_kind = this->DemandKindOf(request, *route_costs)};
  const auto priority = DemandPriority(request.rank, verdict.demand_kind);
  auto meter = this->local_meters.find(request.route);
  if (meter == this->local_meters.end()) {
    meter = this->local_meters.emplace(std::string(request.route), RateMeter())
                .first;
  }
  meter->second.Add(now, priority);
  const double fraction = this->AdmittedFraction(request.route, priority);
  if (fraction >= 1) {
    return verdict;
  }
  if (this->fraction_sums.size() > kMaxRoutes) {
    this->fraction_sums.clear();
  }
  const auto [entry, is_new] =
      this->fraction_sums.try_emplace(std::string(request.route));
  auto& fraction_sum = entry->second[static_cast<std::size_t>(priority)];
  if (is_new) {
    fraction_sum = this->random.Unit();
  }
  fraction_sum += fraction;
  if (fraction_sum >= 1) {
    fraction_sum -= 1;
    return verdict;
  }
  verdict.admitted = false;
  verdict.service =
      this->admissions.find(request.route)->second.limiting_service;
  verdict.retry_after = this->DrawRetryAfter(request, *route_costs);
  return verdict;
}

void EntryAdmission::RecordCompletion(
    std::string_view route,
    const std::vector<decision::ServiceCost>& service_costs,
    Duration latency,
    bool succeeded) {
  this->costs.RecordCompletion(route, service_costs, latency, succeeded);
}

Demand EntryAdmission::LocalDemand(Instant now) {
  Demand demand;
  for (auto& [route, meter] : this->local_meters) {
    demand[route] = meter.Rate(now);
  }
  return demand;
}

void EntryAdmission::AdmitPriority(const Demand& demand,
                                   std::size_t priority,
                                   SlotsByService& available) {
  SlotsByService needed;
  const auto for_each_route = [&](const auto& action) {
    for (const auto& [route, rates] : demand) {
      const auto* route_costs = this->costs.Find(route);
      if (route_costs != nullptr && rates[priority] > 0) {
        action(route, rates[priority], route_costs->services);
      }
    }
  };
  for_each_route(
      [&](const std::string& /*route*/, double rate, const auto& services) {
        for (const auto& [service, slot_time] : services) {
          needed[service] += rate * ToSeconds(slot_time);
        }
      });
  SlotsByService used;
  for_each_route(
      [&](const std::string& route, double rate, const auto& services) {
        auto& entry = this->admissions[route];
        double fraction = 1;
        for (const auto& [service, slot_time] : services) {
          const auto slots = available.find(service);
          const double fitting_fraction =
              slots == available.end() || needed[service] <= slots->second
                  ? 1
                  : slots->second / needed[service];
          // A service that the route hardly uses doesn't limit it.
          if (fitting_fraction < fraction && slot_time > kMinSlotTime) {
            fraction = fitting_fraction;
            entry.limiting_service = service;
          }
        }
        entry.fractions[priority] = fraction;
        for (const auto& [service, slot_time] : services) {
          used[service] += fraction * rate * ToSeconds(slot_time);
        }
      });
  for (auto& [service, slots] : available) {
    slots = std::max(0.0, slots - used[service]);
  }
}

void EntryAdmission::Update(Instant now) {
  const auto demand = this->fleet_demand.Total(now, this->LocalDemand(now));
  SlotsByService available;
  for (const auto& [service, slots] : this->capacity) {
    // A service without usable nodes has no capacity at all: requests that need
    // it would only waste the slots of other services.
    available[service] = slots.slots * kTargetUtilization *
                         this->utilization_correction.OvercommitOf(service);
  }
  const auto available_before = available;
  this->admissions.clear();
  for (const auto& [route, rates] : demand) {
    this->admissions[route].fractions.fill(1);
  }
  for (std::size_t priority = 0; priority < kDemandPriorities; ++priority) {
    if (HasDemand(demand, priority)) {
      this->AdmitPriority(demand, priority, available);
    }
  }
  for (const auto& [service, slots] : this->capacity) {
    const double planned = available_before.at(service) - available.at(service);
    this->planned[service] = planned;
    this->utilization_correction.AddSample(
        now, service,
        {.capacity = slots.slots, .planned = planned, .used = slots.used});
  }
}

}  // namespace agaterun::admission
