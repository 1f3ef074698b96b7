#ifndef LIBRARIES_MEMBERSHIP_READER_ELECTION_H_
#define LIBRARIES_MEMBERSHIP_READER_ELECTION_H_

#include <optional>
#include <unordered_map>

#include "libraries/decision/events.h"
#include "libraries/membership/directory_source.h"
#include "libraries/membership/fleet.h"

namespace agaterun::membership {

// Decides whether this node reads the platform for its failure domain, for
// itself alone, or not at all because other nodes send it the complete state.
// Nodes don't vote: a node starts to read when the state received from others
// becomes too old. The delay until then grows with the node's position in an
// order that is the same on all nodes.
class ReaderElection {
 public:
  explicit ReaderElection(NodeAddress self) : self(self) {}

  // Records the reading status that another node of this failure domain
  // reported.
  void RecordReader(Instant now,
                    NodeAddress node,
                    decision::PlatformReading reading);
  // Another node reported the same state as this node's. `age` is the time
  // since that state was known to be complete at the platform.
  void RecordConfirmation(Instant now, Duration age);
  // This node read the complete state from the platform, and receives all
  // changes for the given time.
  void RecordOwnReading(Instant now, Duration changes_followed_for);
  // Records whether the platform responded to this node.
  void SetReached(Instant now, bool is_reached);

  // The entry of the backend server on this host has to be queried from the
  // platform itself.
  void SetEntryUnconfirmed(bool is_unconfirmed) {
    this->entry_unconfirmed = is_unconfirmed;
  }

  ReadingMode Update(Instant now, const Fleet& fleet);
  ReadingMode Mode() const { return this->mode; }
  decision::PlatformReading Reading(Instant now) const;

  // Age of the state; nullopt until it was complete for the first time.
  std::optional<Duration> Age(Instant now) const;

 private:
  // Time up to which this node's own reads confirm the state.
  std::optional<Instant> OwnStateTime(Instant now) const;
  bool MayStartWatching(Instant now, const Fleet& fleet) const;
  bool CanRelyOnOthers(Instant now) const;
  void StopReading(Instant now, ReadingMode next);
  // Number of nodes before this one in the order that have recently reported at
  // least the reading status `min_reading`.
  int ReadersAhead(Instant now, decision::PlatformReading min_reading) const;
  int ElectionPosition(const Fleet& fleet) const;

  NodeAddress self;
  ReadingMode mode = ReadingMode::kAlone;
  bool reached = false;
  bool entry_unconfirmed = false;
  std::optional<Instant> followed_until;  // By this node's own reads.
  std::optional<Instant> last_read_at;    // The last of these.
  std::optional<Instant> confirmed_at;    // Time confirmed by others.
  Instant watching_since{};
  std::optional<Instant> fleet_known_since;
  struct Reader {
    Instant reported_at{};
    decision::PlatformReading reading = decision::PlatformReading::kNone;
  };
  std::unordered_map<NodeAddress, Reader> readers;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_READER_ELECTION_H_
