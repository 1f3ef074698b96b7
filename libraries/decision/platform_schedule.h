#ifndef LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_
#define LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_

#include <cstdint>
#include <optional>
#include <set>

#include "libraries/base/random.h"
#include "libraries/decision/events.h"
#include "libraries/decision/reader_ranking.h"

namespace agaterun::decision {

// When this node reads the platform, and from which number. Each role has a
// least interval that nothing shortens, so that the sum over the fleet has a
// bound whatever the nodes believe of each other.
class PlatformSchedule {
 public:
  // `random` outlives the schedule.
  explicit PlatformSchedule(RandomSource& random) : random(random) {}

  // Nobody reads before this instant.
  void DelayUntil(Instant instant) { this->earliest_read = instant; }

  // Tells the role, and when the state was last confirmed by anybody.
  void Update(Instant now,
              ReaderRole role,
              std::optional<Instant> confirmed_at);

  // When Take may be called; nothing while a read runs or none is called for.
  std::optional<Instant> NextRead() const { return this->next_read; }

  // Starts a read. `known_number` is the highest in the state.
  ReadPlatform StartRead(Instant now, std::uint64_t known_number);

  // A ticket came with the read that runs.
  void RecordTicket(Instant now, std::uint64_t number);

  // The read ended.
  void RecordReadEnd(Instant now, bool reached, std::uint64_t last_number);

 private:
  std::uint64_t ReadAfterNumber(Instant now, std::uint64_t known_number);
  Duration RandomDuration(Duration shortest, Duration longest);

  RandomSource& random;
  ReaderRole role = ReaderRole::kNone;
  Instant earliest_read{};
  std::optional<Instant> next_read;
  std::optional<Instant> read_start;
  // Chosen once per time that nobody else seems to read.
  std::optional<Instant> fallback_read;
  int failures = 0;
  std::uint64_t last_number = 0;  // Highest that the platform showed.
  std::optional<Instant> last_full_read;
  bool is_full_read = false;
  // Numbers that were passed over lately, and may still come.
  std::set<std::uint64_t> missing_numbers;
  Instant last_gap_found{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_
