#include "libraries/admission/slot_queue.h"

#include <algorithm>
#include <iterator>

namespace agaterun::admission {

namespace {

// Weight of the latest request in the moving average of service times.
constexpr double kServiceTimeWeight = 0.05;

}  // namespace

void SlotQueue::SetLimit(int limit) {
  this->limit = std::max(1, limit);
}

bool SlotQueue::CanStart(int rank) const {
  return this->running < this->limit &&
         (this->queue.empty() || this->queue.begin()->first.rank > rank);
}

void SlotQueue::Ended(Duration elapsed) {
  this->Released();
  if (this->service_time == Duration{}) {
    this->service_time = elapsed;
    return;
  }
  this->service_time += std::chrono::duration_cast<Duration>(
      (elapsed - this->service_time) * kServiceTimeWeight);
}

void SlotQueue::Released() {
  this->running = std::max(0, this->running - 1);
}

std::size_t SlotQueue::QueuedAhead(int rank) const {
  return static_cast<std::size_t>(
      std::distance(this->queue.begin(), this->EndOfRank(rank)));
}

Duration SlotQueue::ExpectedWait(int rank) const {
  if (this->CanStart(rank)) {
    return Duration{};
  }
  const auto end = this->EndOfRank(rank);
  Duration work_ahead{};
  for (auto entry = this->queue.begin(); entry != end; ++entry) {
    const auto work = entry->second.work;
    work_ahead += work > Duration{} ? work : this->service_time;
  }
  const int above_limit = std::max(0, this->running - this->limit);
  // Assumes that running requests end one by one, evenly spread over one
  // service time.
  return (work_ahead + this->service_time * (1 + above_limit)) / this->limit;
}

void SlotQueue::Push(const Waiting& waiting) {
  const QueuePosition position{.rank = waiting.rank,
                               .sequence_number = this->next_sequence_number++};
  this->queue.emplace(position, waiting);
  this->positions.emplace(waiting.id, position);
  this->expiries.emplace(waiting.latest_start, waiting.id);
}

std::map<SlotQueue::QueuePosition, SlotQueue::Waiting>::iterator
SlotQueue::Erase(std::map<QueuePosition, Waiting>::iterator entry) {
  const auto& waiting = entry->second;
  const auto [first, last] = this->expiries.equal_range(waiting.latest_start);
  for (auto expiry = first; expiry != last; ++expiry) {
    if (expiry->second == waiting.id) {
      this->expiries.erase(expiry);
      break;
    }
  }
  this->positions.erase(waiting.id);
  return this->queue.erase(entry);
}

std::optional<SlotQueue::Id> SlotQueue::Pop() {
  if (this->queue.empty() || this->running >= this->limit) {
    return std::nullopt;
  }
  const auto id = this->queue.begin()->second.id;
  this->Erase(this->queue.begin());
  return id;
}

std::vector<SlotQueue::Id> SlotQueue::PopExpired(Instant now) {
  std::vector<Id> expired;
  while (!this->expiries.empty() && this->expiries.begin()->first <= now) {
    const auto id = this->expiries.begin()->second;
    expired.push_back(id);
    this->Remove(id);
  }
  return expired;
}

std::vector<SlotQueue::Id> SlotQueue::PopAll() {
  std::vector<Id> all;
  while (!this->queue.empty()) {
    all.push_back(this->queue.begin()->second.id);
    this->Erase(this->queue.begin());
  }
  return all;
}

void SlotQueue::Remove(Id id) {
  const auto position = this->positions.find(id);
  if (position != this->positions.end()) {
    this->Erase(this->queue.find(position->second));
  }
}

std::optional<Instant> SlotQueue::NextExpiry() const {
  if (this->expiries.empty()) {
    return std::nullopt;
  }
  return this->expiries.begin()->first;
}

}  // namespace agaterun::admission
