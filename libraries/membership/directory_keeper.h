#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_

#include <cstdint>
#include <optional>

#include "libraries/decision/events.h"
#include "libraries/membership/directory.h"
#include "libraries/membership/reader_rota.h"

namespace agaterun::membership {

// What this node knows of the endpoints and how old that is, from its own
// readings of the platform and from what other nodes tell.
class DirectoryKeeper {
 public:
  explicit DirectoryKeeper(NodeAddress self) : rota(self) {}

  // Own readings. Each returns true when something changed that others act on.
  bool ApplyList(Instant now, const EndpointList& list);
  bool ApplyChanges(Instant now, const EndpointChanges& changes);
  bool ApplyLocalEndpoint(const LocalEndpoint& endpoint);
  void SetReached(Instant now, bool reached) {
    this->rota.SetReached(now, reached);
  }

  // What another node passed on.
  bool UpdateFromPeer(const EndpointChanges& changes);

  // Another node of this failure domain spoke. `same_configuration` when it
  // has the one that is in force here.
  void ProcessHeartbeat(Instant now,
                        const decision::Heartbeat& heartbeat,
                        bool same_configuration);
  // True when that node is to be asked for what it knows.
  bool ShouldAsk(Instant now, const decision::Heartbeat& heartbeat);
  // Revision after which it is to tell what changed; 0 for everything.
  std::uint64_t AskSince(Instant now) const;

  // Adds to a heartbeat what other nodes need to know.
  void Tell(Instant now, decision::Heartbeat& heartbeat) const;

  void SetOwnEntryUnconfirmed(bool in_doubt) {
    this->rota.SetInDoubt(in_doubt);
  }
  ReadingMode Update(Instant now, const Fleet& fleet) {
    return this->rota.Update(now, fleet);
  }
  std::optional<Duration> Age(Instant now) const { return this->rota.Age(now); }

  decision::PlatformReading Reading(Instant now) const {
    return this->rota.Reading(now);
  }

  const Directory& Endpoints() const { return this->directory; }

 private:
  Directory directory;
  ReaderRota rota;
  // Since when another node holds other endpoints; nothing while all agree.
  std::optional<Instant> differs_since;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_
