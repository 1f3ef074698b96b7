#include "libraries/membership/reader_election.h"

#include <algorithm>

#include "libraries/base/node_hash.h"

namespace agaterun::membership {

namespace {

using decision::PlatformReading;

// The first node in the order starts to read when the state was not confirmed
// for this long. Each following node starts one step later.
constexpr Duration kTakeoverAge = 1200ms;
constexpr Duration kTakeoverStep = 150ms;
constexpr int kMaxTakeoverSteps = 20;

// A node whose state is older queries the platform itself.
constexpr Duration kMaxTrustedAge = 1500ms;

// A reader that has not reported for this long no longer counts as a reader.
constexpr Duration kReaderTimeout = 900ms;

// A confirmation by others that is newer than this node's own reads by less
// than this was derived from these reads.
constexpr Duration kOwnEchoMargin = 50ms;

// A response of the platform confirms the state for this long after it, since
// the next request is pending.
constexpr Duration kPendingRequestTrust = 250ms;

// Maximum number of nodes of one failure domain that try to read concurrently.
// One suffices while the platform responds to it.
constexpr int kMaxReaders = 2;

}  // namespace

void ReaderElection::RecordReader(Instant now,
                                  NodeAddress node,
                                  PlatformReading reading) {
  if (reading == PlatformReading::kNone) {
    this->readers.erase(node);
  } else {
    this->readers[node] = {.reported_at = now, .reading = reading};
  }
}

PlatformReading ReaderElection::Reading(Instant now) const {
  if (this->mode != ReadingMode::kWatching) {
    return PlatformReading::kNone;
  }
  return this->followed_until && now < *this->followed_until
             ? PlatformReading::kUpToDate
             : PlatformReading::kAttempting;
}

void ReaderElection::RecordConfirmation(Instant now, Duration age) {
  const auto state_time = now - age;
  this->confirmed_at =
      std::max(state_time, this->confirmed_at.value_or(state_time));
}

void ReaderElection::RecordOwnReading(Instant now,
                                      Duration changes_followed_for) {
  this->last_read_at = now;
  this->followed_until = now + changes_followed_for;
}

void ReaderElection::SetReached(Instant now, bool is_reached) {
  this->reached = is_reached;
  if (!is_reached && this->followed_until) {
    this->followed_until = std::min(now, *this->followed_until);
  }
}

std::optional<Duration> ReaderElection::Age(Instant now) const {
  const auto own = this->OwnStateTime(now);
  if (!own && !this->confirmed_at) {
    return std::nullopt;
  }
  return now - std::max(own.value_or(Instant::min()),
                        this->confirmed_at.value_or(Instant::min()));
}

std::optional<Instant> ReaderElection::OwnStateTime(Instant now) const {
  if (!this->last_read_at) {
    return std::nullopt;
  }
  // A pending request that the platform will never answer looks like one
  // without changes, so it confirms the state for a short time only.
  return std::min(now, *this->last_read_at + kPendingRequestTrust);
}

int ReaderElection::ReadersAhead(Instant now,
                                 PlatformReading min_reading) const {
  return static_cast<int>(std::count_if(
      this->readers.begin(), this->readers.end(), [&](const auto& item) {
        const auto& [node, reader] = item;
        return now - reader.reported_at < kReaderTimeout &&
               reader.reading >= min_reading &&
               NodeHash(node) < NodeHash(this->self);
      }));
}

int ReaderElection::ElectionPosition(const Fleet& fleet) const {
  const auto& nodes = fleet.NodesOfOwnDomain();
  return static_cast<int>(
      std::count_if(nodes.begin(), nodes.end(), [this](NodeAddress node) {
        return NodeHash(node) < NodeHash(this->self);
      }));
}

bool ReaderElection::MayStartWatching(Instant now, const Fleet& fleet) const {
  // While the platform is unreachable, two nodes that try without success are
  // enough. A node to which the platform responds takes over regardless.
  if (this->ReadersAhead(now, PlatformReading::kAttempting) >= kMaxReaders &&
      !this->reached) {
    return false;
  }
  const auto steps = std::min(this->ElectionPosition(fleet), kMaxTakeoverSteps);
  const auto takeover_delay = kTakeoverStep * steps;
  const auto age =
      this->Age(now).value_or(now - this->fleet_known_since.value_or(now));
  return age >= kTakeoverAge + takeover_delay;
}

bool ReaderElection::CanRelyOnOthers(Instant now) const {
  const bool follows = this->Reading(now) == PlatformReading::kUpToDate;
  // Confirmations from before this node began to read were too old, which is
  // why it began. Others may also return this node's own state to it.
  const auto own_state_time =
      std::max(this->watching_since,
               this->OwnStateTime(now).value_or(this->watching_since));
  const bool is_confirmed =
      this->confirmed_at && now - *this->confirmed_at < kMaxTrustedAge &&
      (follows || *this->confirmed_at > own_state_time + kOwnEchoMargin);
  return is_confirmed &&
         (!follows || this->ReadersAhead(now, PlatformReading::kUpToDate) > 0);
}

void ReaderElection::StopReading(Instant now, ReadingMode next) {
  this->mode = next;
  // The age of the state read by this node counts from now on. Whether the
  // platform responds is unknown while it isn't queried.
  this->SetReached(now, false);
}

ReadingMode ReaderElection::Update(Instant now, const Fleet& fleet) {
  if (fleet.NodesOfOwnDomain().empty()) {
    return this->mode;
  }
  this->fleet_known_since = this->fleet_known_since.value_or(now);
  const auto age = this->Age(now);
  const bool is_state_valid =
      age && *age < kMaxTrustedAge && !this->entry_unconfirmed;
  if (this->mode == ReadingMode::kWatching) {
    const bool reads_without_success =
        !is_state_valid && !this->reached &&
        this->ReadersAhead(now, PlatformReading::kAttempting) >= kMaxReaders;
    if (this->CanRelyOnOthers(now)) {
      this->StopReading(now, ReadingMode::kResting);
    } else if (reads_without_success) {
      this->StopReading(now, ReadingMode::kAlone);
    }
    return this->mode;
  }
  if (this->MayStartWatching(now, fleet)) {
    this->mode = ReadingMode::kWatching;
    this->watching_since = now;
    this->followed_until.reset();
  } else if (!is_state_valid) {
    this->mode = ReadingMode::kAlone;
  } else if (this->mode == ReadingMode::kAlone) {
    this->StopReading(now, ReadingMode::kResting);
  }
  return this->mode;
}

}  // namespace agaterun::membership
