#include "libraries/membership/reader_rota.h"

#include <algorithm>

#include "libraries/base/node_hash.h"

namespace agaterun::membership {

namespace {

using decision::PlatformReading;

// The first node in the order starts to read when the state was not confirmed
// for this long. Each following node starts one step later.
constexpr Duration kTakeOver = 1200ms;
constexpr Duration kTakeOverStep = 150ms;
constexpr int kMostSteps = 20;

// A node whose state is older queries the platform itself.
constexpr Duration kTrusted = 1500ms;

// A reader that has not reported for this long no longer counts as a reader.
constexpr Duration kReaderSilence = 900ms;

// A confirmation by others that is newer than this node's own reads by less
// than this was derived from these reads.
constexpr Duration kOwnWord = 50ms;

// Maximum number of nodes of one failure domain that try to read concurrently.
// One suffices while the platform responds to it.
constexpr int kMostReaders = 2;

}  // namespace

void ReaderRota::Received(Instant now, NodeAddress node, PlatformReading reading) {
  if (reading == PlatformReading::kNone) {
    this->readers.erase(node);
  } else {
    this->readers[node] = {.heard = now, .reading = reading};
  }
}

PlatformReading ReaderRota::Reading(Instant now) const {
  if (this->mode != ReadingMode::kWatching) {
    return PlatformReading::kNone;
  }
  return this->followed_until && now < *this->followed_until
             ? PlatformReading::kUpToDate
             : PlatformReading::kAttempting;
}

void ReaderRota::Told(Instant now, Duration age) {
  const auto at = now - age;
  this->told = std::max(at, this->told.value_or(at));
}

void ReaderRota::Follows(Instant now, Duration for_time) {
  this->followed_until = now + for_time;
}

void ReaderRota::SetReached(Instant now, bool is_reached) {
  this->reached = is_reached;
  if (!is_reached && this->followed_until) {
    this->followed_until = std::min(now, *this->followed_until);
  }
}

std::optional<Duration> ReaderRota::Age(Instant now) const {
  if (!this->told && !this->followed_until) {
    return std::nullopt;
  }
  const auto own = std::min(now, this->followed_until.value_or(Instant::min()));
  return now - std::max(own, this->told.value_or(Instant::min()));
}

int ReaderRota::ReadersBefore(Instant now, PlatformReading least) const {
  return static_cast<int>(std::count_if(
      this->readers.begin(), this->readers.end(), [&](const auto& item) {
        const auto& [node, reader] = item;
        return now - reader.heard < kReaderSilence && reader.reading >= least &&
               NodeHash(node) < NodeHash(this->self);
      }));
}

int ReaderRota::PlaceInOrder(const Fleet& fleet) const {
  const auto& near = fleet.NodesNear();
  return static_cast<int>(
      std::count_if(near.begin(), near.end(), [this](NodeAddress node) {
        return NodeHash(node) < NodeHash(this->self);
      }));
}

bool ReaderRota::MayWatch(Instant now, const Fleet& fleet) const {
  // While the platform is unreachable, two nodes that try without success are
  // enough. A node to which the platform responds takes over regardless.
  if (this->ReadersBefore(now, PlatformReading::kAttempting) >= kMostReaders &&
      !this->reached) {
    return false;
  }
  const auto steps = std::min(this->PlaceInOrder(fleet), kMostSteps);
  const auto turn = kTakeOverStep * steps;
  const auto age =
      this->Age(now).value_or(now - this->fleet_known.value_or(now));
  return age >= kTakeOver + turn;
}

bool ReaderRota::OthersRead(Instant now) const {
  const bool follows = this->Reading(now) == PlatformReading::kUpToDate;
  // Confirmations from before this node began to read were too old, which is
  // why it began. Others may also return this node's own state to it.
  const auto known = std::min(
      now, std::max(this->watching_since,
                    this->followed_until.value_or(this->watching_since)));
  const bool are_told = this->told && now - *this->told < kTrusted &&
                        (follows || *this->told > known + kOwnWord);
  return are_told &&
         (!follows || this->ReadersBefore(now, PlatformReading::kUpToDate) > 0);
}

void ReaderRota::StopReading(Instant now, ReadingMode next) {
  this->mode = next;
  // The age of the state read by this node counts from now on. Whether the
  // platform responds is unknown while it isn't queried.
  this->SetReached(now, false);
}

ReadingMode ReaderRota::Update(Instant now, const Fleet& fleet) {
  if (fleet.NodesNear().empty()) {
    return this->mode;
  }
  this->fleet_known = this->fleet_known.value_or(now);
  const auto age = this->Age(now);
  const bool is_trusted = age && *age < kTrusted && !this->in_doubt;
  if (this->mode == ReadingMode::kWatching) {
    const bool in_vain =
        !is_trusted && !this->reached &&
        this->ReadersBefore(now, PlatformReading::kAttempting) >= kMostReaders;
    if (this->OthersRead(now)) {
      this->StopReading(now, ReadingMode::kResting);
    } else if (in_vain) {
      this->StopReading(now, ReadingMode::kAlone);
    }
    return this->mode;
  }
  if (this->MayWatch(now, fleet)) {
    this->mode = ReadingMode::kWatching;
    this->watching_since = now;
    this->followed_until.reset();
  } else if (!is_trusted) {
    this->mode = ReadingMode::kAlone;
  } else if (this->mode == ReadingMode::kAlone) {
    this->StopReading(now, ReadingMode::kResting);
  }
  return this->mode;
}

}  // namespace agaterun::membership
