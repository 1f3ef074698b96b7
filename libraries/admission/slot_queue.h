#ifndef LIBRARIES_ADMISSION_SLOT_QUEUE_H_
#define LIBRARIES_ADMISSION_SLOT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "libraries/base/time.h"

namespace agaterun::admission {

// The slots of one backend server and the queue of requests that wait for a
// free one. Requests leave the queue by priority, and in order of arrival
// within one priority.
class SlotQueue {
 public:
  using Id = std::uint64_t;

  struct Waiting {
    Id id = 0;
    int rank = 0;  // Priority; smaller values start first.
    Instant latest_start{};
    Duration work{};  // Expected time in its slot; zero if unknown.
  };

  // Sets how many requests may run concurrently; a value below 1 sets 1.
  void SetLimit(int limit);
  int Limit() const { return this->limit; }
  int Running() const { return this->running; }
  std::size_t Queued() const { return this->positions.size(); }

  // True if a slot is free and no request of the same or a higher priority is
  // queued.
  bool CanStart(int rank) const;
  // Occupies a slot.
  void Started() { ++this->running; }
  // Releases the slot of a request that ran for `elapsed`, and adds that time
  // to the mean service time.
  void Ended(Duration elapsed);
  // Releases the slot of a request that did not run to completion. The mean
  // service time is not affected.
  void Released();

  // Number of queued requests that start before one of this priority.
  std::size_t QueuedAhead(int rank) const;

  // Expected wait of a request of this priority, from the expected times of the
  // requests ahead of it; zero if it can start immediately.
  Duration ExpectedWait(int rank) const;

  // Moving average of the time that requests hold a slot; zero before the first
  // request has ended.
  Duration ServiceTime() const { return this->service_time; }

  void Push(const Waiting& waiting);
  // Removes and returns the next request; nothing if the queue is empty or all
  // slots are taken.
  std::optional<Id> Pop();
  // Removes and returns the requests whose latest start has passed.
  std::vector<Id> PopExpired(Instant now);
  // Removes and returns all requests, in the order in which they would start.
  std::vector<Id> PopAll();
  // Removes a request that may have left the queue already.
  void Remove(Id id);
  std::optional<Instant> NextExpiry() const;

 private:
  struct QueuePosition {
    int rank = 0;
    std::uint64_t sequence_number = 0;
    bool operator<(const QueuePosition& other) const {
      return this->rank != other.rank
                 ? this->rank < other.rank
                 : this->sequence_number < other.sequence_number;
    }
  };

  std::map<QueuePosition, Waiting>::const_iterator EndOfRank(int rank) const {
    return this->queue.upper_bound(
        {.rank = rank, .sequence_number = ~std::uint64_t{0}});
  }
  std::map<QueuePosition, Waiting>::iterator Erase(
      std::map<QueuePosition, Waiting>::iterator entry);

  int limit = 1;
  int running = 0;
  std::uint64_t next_sequence_number = 0;
  Duration service_time{};
  std::map<QueuePosition, Waiting> queue;
  std::unordered_map<Id, QueuePosition> positions;
  std::multimap<Instant, Id> expiries;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_SLOT_QUEUE_H_
