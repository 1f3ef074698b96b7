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

// The slots of one backend server and the requests that wait for one: the most
// important first, of equal ones the oldest.
class SlotQueue {
 public:
  using Id = std::uint64_t;

  struct Waiting {
    Id id = 0;
    int rank = 0;  // Smaller goes first.
    Instant latest_start{};
    Duration work{};  // Expected time in its slot; zero when not known.
  };

  // Requests that may run at once; at least 1.
  void SetLimit(int limit);
  int Limit() const { return this->limit; }
  int Running() const { return this->running; }
  std::size_t Queued() const { return this->positions.size(); }

  // A slot is free and nothing that goes first waits.
  bool MayStart(int rank) const;
  void Started() { ++this->running; }
  // A request ended that ran for `elapsed`.
  void Ended(Duration elapsed);
  // A request left its slot without having run to its end.
  void Released();

  // Time that a request of this rank would wait, by what is known of the
  // requests before it; zero when a slot is free.
  Duration ExpectedWait(int rank) const;

  // Mean time of a request; zero before the first.
  Duration ServiceTime() const { return this->service_time; }

  void Push(const Waiting& waiting);
  // Takes out the request that goes next when a slot is free.
  std::optional<Id> Pop();
  // Takes out those whose latest start has passed.
  std::vector<Id> PopExpired(Instant now);
  // Takes out all, in order.
  std::vector<Id> TakeAll();
  void Remove(Id id);
  std::optional<Instant> NextExpiry() const;

 private:
  struct Place {
    int rank = 0;
    std::uint64_t serial = 0;
    bool operator<(const Place& other) const {
      return this->rank != other.rank ? this->rank < other.rank
                                      : this->serial < other.serial;
    }
  };

  std::map<Place, Waiting>::iterator Erase(
      std::map<Place, Waiting>::iterator entry);

  int limit = 1;
  int running = 0;
  std::uint64_t next_serial = 0;
  Duration service_time{};
  std::map<Place, Waiting> queue;
  std::unordered_map<Id, Place> positions;
  std::multimap<Instant, Id> expiries;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_SLOT_QUEUE_H_
