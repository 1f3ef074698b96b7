#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_

#include <cstdint>
#include <optional>

#include "libraries/decision/events.h"
#include "libraries/membership/directory.h"
#include "libraries/membership/reader_election.h"

namespace agaterun::membership {

// Maintains this node's known state of the endpoints and its age, from its own
// reads of the platform and from other nodes' gossip.
class DirectoryKeeper {
 public:
  explicit DirectoryKeeper(NodeAddress self) : reader_election(self) {}

  // Apply what this node read from the platform itself. Each returns true when
  // the digest of the directory changed.
  bool ApplyList(Instant now, const EndpointList& list);
  bool ApplyChanges(Instant now, const EndpointChanges& changes);
  bool ApplyLocalEndpoint(Instant now, const LocalEndpoint& endpoint);
  void SetReached(Instant now, bool reached) {
    this->reader_election.SetReached(now, reached);
  }

  // Applies changes received from another node.
  bool UpdateFromPeer(Instant now, const EndpointChanges& changes);

  // Processes a heartbeat of another node of this failure domain.
  // `same_configuration` is true when the sender has the configuration that is
  // in force here.
  void ProcessHeartbeat(Instant now,
                        const decision::Heartbeat& heartbeat,
                        bool same_configuration);
  // True when the sender of the heartbeat should be queried for its endpoints.
  bool ShouldQuery(Instant now, const decision::Heartbeat& heartbeat);
  // Revision after which changes should be queried; 0 for all endpoints.
  std::uint64_t QuerySinceRevision(Instant now) const;

  // Adds the state of the directory and of its reading to a heartbeat.
  void FillHeartbeat(Instant now, decision::Heartbeat& heartbeat) const;

  void SetOwnEntryUnconfirmed(bool is_unconfirmed) {
    this->reader_election.SetEntryUnconfirmed(is_unconfirmed);
  }
  ReadingMode Update(Instant now, const Fleet& fleet) {
    return this->reader_election.Update(now, fleet);
  }
  std::optional<Duration> Age(Instant now) const {
    return this->reader_election.Age(now);
  }

  decision::PlatformReading Reading(Instant now) const {
    return this->reader_election.Reading(now);
  }

  const Directory& Endpoints() const { return this->directory; }

  // How often the platform's service was restored from a copy, as far as known.
  std::uint64_t Era() const { return this->era; }

 private:
  // Detects a restore by the era of a revision that was read or received.
  void RecordRevision(Instant now, std::uint64_t revision);
  // True while the platform's service may hold an earlier state than this node,
  // since endpoints have not had time to register again after a restore.
  bool IsReregistering(Instant now) const;

  Directory directory;
  ReaderElection reader_election;
  std::uint64_t era = 0;
  std::optional<Instant> restored_at;  // When the restore became known.
  // Time since which another node's digest differs; nullopt while the last one
  // received is equal.
  std::optional<Instant> differs_since;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_KEEPER_H_
