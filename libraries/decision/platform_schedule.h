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
  void HoldUntil(Instant instant) { this->not_before = instant; }

  // Tells the role, and when the state was last confirmed by anybody.
  void Update(Instant now, ReaderRole role, std::optional<Instant> confirmed);

  // When Take may be called; nothing while a read runs or none is called for.
  std::optional<Instant> Due() const { return this->due; }

  // Starts a read. `known_number` is the highest in the state.
  ReadPlatform Take(Instant now, std::uint64_t known_number);

  // A ticket came with the read that runs.
  void Published(Instant now, std::uint64_t number);

  // The read ended.
  void Ended(Instant now, bool reached, std::uint64_t last_number);

 private:
  std::uint64_t StartOfRead(Instant now, std::uint64_t known_number);
  Duration Jittered(Duration least, Duration most);

  RandomSource& random;
  ReaderRole role = ReaderRole::kNone;
  Instant not_before{};
  std::optional<Instant> due;
  std::optional<Instant> reading_since;
  // Chosen once per time that nobody else seems to read.
  std::optional<Instant> lonely_read;
  int failures = 0;
  std::uint64_t last_number = 0;  // Highest that the platform showed.
  std::optional<Instant> last_full_read;
  bool is_full_read = false;
  // Numbers that were passed over lately, and may still come.
  std::set<std::uint64_t> missing;
  Instant missing_since{};
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_PLATFORM_SCHEDULE_H_
