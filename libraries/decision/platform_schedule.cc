#include "libraries/decision/platform_schedule.h"

#include <algorithm>

namespace agaterun::decision {

namespace {

constexpr Duration kPollInterval = 1s;
constexpr Duration kLongestReaderBackoff = 2s;
// How old the last confirmation is when others than the readers step in.
constexpr Duration kStandbyAge = 3s;
constexpr Duration kLonelyAge = 5s;
// Nodes that are no candidates spread their reads over this time. 710 of them
// with two calls each stay below 300 calls a second.
constexpr Duration kLonelySpread = 5s;
constexpr Duration kLongestLonelyBackoff = 20s;
// A driver that never ends a read must not end reading for good.
constexpr Duration kLongestRead = 60s;
// How long a number that was passed over is waited for at short intervals.
constexpr Duration kGapPatience = 60s;
constexpr std::size_t kMostMissing = 64;
// All tickets are read again now and then, for what came out of order later.
constexpr Duration kFullReadInterval = 300s;

Duration Doubled(Duration base, int times, Duration most) {
  constexpr int kMostDoublings = 8;
  return std::min(base * (1 << std::min(times, kMostDoublings)), most);
}

}  // namespace

Duration PlatformSchedule::Jittered(Duration least, Duration most) {
  const auto span = static_cast<std::uint64_t>((most - least).count());
  return least +
         Duration(static_cast<std::int64_t>(this->random.Below(span + 1)));
}

void PlatformSchedule::Update(Instant now,
                              ReaderRole role,
                              std::optional<Instant> confirmed) {
  this->role = role;
  this->due.reset();
  if (this->reading_since) {
    if (now - *this->reading_since > kLongestRead) {
      this->Ended(now, /*reached=*/false, 0);
    }
    return;
  }
  const bool is_reader =
      role == ReaderRole::kPoller || role == ReaderRole::kWatcher;
  // Never confirmed counts as older than anything.
  const Duration age = confirmed ? now - *confirmed : Duration::max();
  if (is_reader || (role == ReaderRole::kStandby && age > kStandbyAge)) {
    this->lonely_read.reset();
    this->due = this->not_before;
    return;
  }
  if (role != ReaderRole::kNone || age <= kLonelyAge) {
    this->lonely_read.reset();
    return;
  }
  if (!this->lonely_read) {
    this->lonely_read = now + this->Jittered(Duration{}, kLonelySpread);
  }
  this->due = std::max(*this->lonely_read, this->not_before);
}

ReadPlatform PlatformSchedule::Take(Instant now, std::uint64_t known_number) {
  this->reading_since = now;
  this->due.reset();
  const auto start = this->StartOfRead(now, known_number);
  const bool is_behind = this->is_full_read || !this->missing.empty();
  return {.after_number = start,
          .watch = this->role == ReaderRole::kWatcher && !is_behind};
}

std::uint64_t PlatformSchedule::StartOfRead(Instant now,
                                            std::uint64_t known_number) {
  this->is_full_read = false;
  if (now - this->missing_since > kGapPatience) {
    this->missing.clear();
  }
  // Somebody else reads all of it; this node only looks for news.
  if (this->role == ReaderRole::kNone && known_number > 0) {
    return known_number;
  }
  if (!this->last_full_read ||
      now - *this->last_full_read > kFullReadInterval) {
    this->is_full_read = true;
    return 0;
  }
  return this->missing.empty() ? this->last_number : *this->missing.begin() - 1;
}

void PlatformSchedule::Published(Instant now, std::uint64_t number) {
  this->missing.erase(number);
  // Numbers may be left out for good, so only what is passed over while this
  // node looks on is waited for.
  if (!this->is_full_read && this->last_number > 0) {
    for (auto passed = this->last_number + 1;
         passed < number && this->missing.size() < kMostMissing; ++passed) {
      this->missing.insert(passed);
      this->missing_since = now;
    }
  }
  this->last_number = std::max(this->last_number, number);
}

void PlatformSchedule::Ended(Instant now,
                             bool reached,
                             std::uint64_t last_number) {
  this->reading_since.reset();
  this->failures = reached ? 0 : this->failures + 1;
  if (reached) {
    this->last_number = last_number;
    if (this->is_full_read) {
      this->last_full_read = now;
    }
  }
  if (this->role == ReaderRole::kNone) {
    const auto backoff =
        Doubled(kLonelyAge, this->failures, kLongestLonelyBackoff);
    this->not_before = now + this->Jittered(backoff, 2 * backoff);
    return;
  }
  const auto backoff =
      Doubled(kPollInterval, this->failures, kLongestReaderBackoff);
  this->not_before = now + this->Jittered(backoff * 9 / 10, backoff * 11 / 10);
}

}  // namespace agaterun::decision
