#include "libraries/decision/platform_schedule.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kPollInterval = 1s;
constexpr Duration kMaxReaderBackoff = 2s;
// Age of the last confirmation at which standby nodes, and then nodes that are
// not candidates, start to read.
constexpr Duration kStandbyAge = 3s;
constexpr Duration kFallbackAge = 5s;
// Nodes that are not candidates distribute their reads over this time. 710 of
// them with two calls each stay below 300 calls a second.
constexpr Duration kFallbackJitter = 5s;
constexpr Duration kMaxFallbackBackoff = 20s;
// A driver that never reports the end of a read must not stop all further
// reads.
constexpr Duration kReadTimeout = 60s;
// For this long after a number was skipped, it is read for at short intervals.
constexpr Duration kGapTimeout = 60s;
constexpr std::size_t kMaxMissingNumbers = 64;
// All tickets are read again at this interval, to find those that were
// published out of order later.
constexpr Duration kFullReadInterval = 300s;

Duration ExponentialBackoff(Duration base, int times, Duration longest) {
  constexpr int kMaxDoublings = 8;
  return std::min(base * (1 << std::min(times, kMaxDoublings)), longest);
}

}  // namespace

Duration PlatformSchedule::RandomDuration(Duration shortest, Duration longest) {
  const auto span = static_cast<std::uint64_t>((longest - shortest).count());
  return shortest +
         Duration(static_cast<std::int64_t>(this->random.Below(span + 1)));
}

void PlatformSchedule::Update(Instant now,
                              ReaderRole role,
                              std::optional<Instant> confirmed_at) {
  this->role = role;
  this->next_read.reset();
  if (this->read_start) {
    if (now - *this->read_start > kReadTimeout) {
      this->RecordReadEnd(now, /*reached=*/false, 0);
    }
    return;
  }
  const bool is_reader =
      role == ReaderRole::kPoller || role == ReaderRole::kWatcher;
  // A state that was never confirmed counts as older than any other.
  const Duration age = confirmed_at ? now - *confirmed_at : Duration::max();
  if (is_reader || (role == ReaderRole::kStandby && age > kStandbyAge)) {
    this->fallback_read.reset();
    this->next_read = this->earliest_read;
    return;
  }
  if (role != ReaderRole::kNone || age <= kFallbackAge) {
    this->fallback_read.reset();
    return;
  }
  if (!this->fallback_read) {
    this->fallback_read =
        now + this->RandomDuration(Duration{}, kFallbackJitter);
  }
  this->next_read = std::max(*this->fallback_read, this->earliest_read);
}

ReadPlatform PlatformSchedule::StartRead(Instant now,
                                         std::uint64_t known_number) {
  this->read_start = now;
  this->next_read.reset();
  const auto start = this->ReadAfterNumber(now, known_number);
  const bool is_behind = this->is_full_read || !this->missing_numbers.empty();
  return {.after_number = start,
          .watch = this->role == ReaderRole::kWatcher && !is_behind};
}

std::uint64_t PlatformSchedule::ReadAfterNumber(Instant now,
                                                std::uint64_t known_number) {
  this->is_full_read = false;
  if (now - this->last_gap_found > kGapTimeout) {
    this->missing_numbers.clear();
  }
  // Other nodes read all tickets; this node only looks for newer ones.
  if (this->role == ReaderRole::kNone && known_number > 0) {
    return known_number;
  }
  if (!this->last_full_read ||
      now - *this->last_full_read > kFullReadInterval) {
    this->is_full_read = true;
    return 0;
  }
  return this->missing_numbers.empty() ? this->last_number
                                       : *this->missing_numbers.begin() - 1;
}

void PlatformSchedule::RecordTicket(Instant now, std::uint64_t number) {
  this->missing_numbers.erase(number);
  // Some numbers are never used, so this node waits only for numbers that were
  // skipped while it was reading.
  if (!this->is_full_read && this->last_number > 0) {
    for (auto skipped = this->last_number + 1;
         skipped < number && this->missing_numbers.size() < kMaxMissingNumbers;
         ++skipped) {
      this->missing_numbers.insert(skipped);
      this->last_gap_found = now;
    }
  }
  this->last_number = std::max(this->last_number, number);
}

void PlatformSchedule::RecordReadEnd(Instant now,
                                     bool reached,
                                     std::uint64_t last_number) {
  this->read_start.reset();
  this->failures = reached ? 0 : this->failures + 1;
  if (reached) {
    this->last_number = last_number;
    if (this->is_full_read) {
      this->last_full_read = now;
    }
  }
  if (this->role == ReaderRole::kNone) {
    const auto backoff =
        ExponentialBackoff(kFallbackAge, this->failures, kMaxFallbackBackoff);
    this->earliest_read = now + this->RandomDuration(backoff, 2 * backoff);
    return;
  }
  const auto backoff =
      ExponentialBackoff(kPollInterval, this->failures, kMaxReaderBackoff);
  this->earliest_read =
      now + this->RandomDuration(backoff * 9 / 10, backoff * 11 / 10);
}

}  // namespace agaterun::decision
