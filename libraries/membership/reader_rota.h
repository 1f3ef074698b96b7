#ifndef LIBRARIES_MEMBERSHIP_READER_ROTA_H_
#define LIBRARIES_MEMBERSHIP_READER_ROTA_H_

#include <optional>
#include <unordered_map>

#include "libraries/decision/events.h"
#include "libraries/membership/directory_source.h"
#include "libraries/membership/fleet.h"

namespace agaterun::membership {

// Decides whether this node reads the platform for its failure domain, for
// itself alone, or not at all because others tell it all there is. Nobody is
// elected: a node reads when knowledge that comes from others grows old, the
// first in an order that all agree on before the next.
class ReaderRota {
 public:
  explicit ReaderRota(NodeAddress self) : self(self) {}

  // Another node of this failure domain spoke.
  void Received(Instant now,
                NodeAddress node,
                decision::PlatformReading reading);
  // Another node told that it knows the same, which was all that the platform
  // held so long ago.
  void Told(Instant now, Duration age);
  // This node's own reading knows all, and hears of changes for so long.
  void Follows(Instant now, Duration for_time);
  // The platform answered this node, or did not.
  void SetReached(Instant now, bool is_reached);

  // The platform itself has to be asked for the entry of the own server.
  void SetInDoubt(bool is_in_doubt) { this->in_doubt = is_in_doubt; }

  ReadingMode Update(Instant now, const Fleet& fleet);
  ReadingMode Mode() const { return this->mode; }
  decision::PlatformReading Reading(Instant now) const;

  // How old the knowledge is; nothing while nobody ever knew all.
  std::optional<Duration> Age(Instant now) const;

 private:
  bool MayWatch(Instant now, const Fleet& fleet) const;
  bool OthersRead(Instant now) const;
  void StopReading(Instant now, ReadingMode next);
  // Nodes that come before this one, spoke lately, and read or do better.
  int ReadersBefore(Instant now, decision::PlatformReading least) const;
  int PlaceInOrder(const Fleet& fleet) const;

  NodeAddress self;
  ReadingMode mode = ReadingMode::kAlone;
  bool reached = false;
  bool in_doubt = false;
  std::optional<Instant> followed_until;  // By this node's own reading.
  std::optional<Instant> told;            // By others, when it held.
  Instant watching_since{};
  std::optional<Instant> fleet_known;
  struct Reader {
    Instant heard{};
    decision::PlatformReading reading = decision::PlatformReading::kNone;
  };
  std::unordered_map<NodeAddress, Reader> readers;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_READER_ROTA_H_
