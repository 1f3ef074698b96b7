#ifndef LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_
#define LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <set>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/reader_ranking.h"

namespace agaterun::decision {

// Schedules this node's reads of the platform, and chooses the ticket number to
// read from. Each role has a minimum interval that nothing shortens, so that
// the total over the fleet is bounded whatever the nodes' views of each other
// are.
class PlatformSchedule {
 public:
  // `random` must outlive the schedule.
  explicit PlatformSchedule(RandomSource& random) : random(random) {}

  // No read starts before `instant`.
  void DelayUntil(Instant instant) { this->earliest_read = instant; }

  // Sets this node's role, and when any node last confirmed that the state is
  // current.
  void Update(Instant now,
              ReaderRole role,
              std::optional<Instant> confirmed_at);

  // When StartRead may be called; nothing while a read is in progress or no
  // read is needed.
  std::optional<Instant> NextRead() const { return this->next_read; }

  // Starts a read. `known_number` is the highest ticket number in the state.
  ReadPlatform StartRead(Instant now, std::uint64_t known_number);

  // Records a ticket that the current read returned.
  void RecordTicket(Instant now, std::uint64_t number);

  // Records the end of the read. `last_number` is the highest ticket number
  // that the platform returned, if it was `reached`.
  void RecordReadEnd(Instant now, bool reached, std::uint64_t last_number);

 private:
  std::uint64_t ReadAfterNumber(Instant now, std::uint64_t known_number);
  Duration RandomDuration(Duration shortest, Duration longest);

  RandomSource& random;
  ReaderRole role = ReaderRole::kNone;
  Instant earliest_read{};
  std::optional<Instant> next_read;
  std::optional<Instant> read_start;
  // When to read although this node is not a candidate; drawn at random once
  // for each period in which no other node appears to read.
  std::optional<Instant> fallback_read;
  int failures = 0;
  std::uint64_t last_number = 0;  // Highest that the platform returned.
  std::optional<Instant> last_full_read;
  bool is_full_read = false;
  // Numbers that were recently skipped, and may still be published.
  std::set<std::uint64_t> missing_numbers;
  Instant last_gap_found{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_
