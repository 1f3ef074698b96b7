#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/membership/directory_source.h"
#include "libraries/membership/endpoint_entry.h"

namespace agaterun::membership {

// What is known of all endpoints. Each fact holds as of a revision of the
// platform's service, and never gives way to one of an earlier revision,
// whichever way that comes in.
class Directory {
 public:
  // Each returns true when something changed that others act on.
  bool TakeEntry(const EndpointEntry& entry);
  bool TakeRemoval(const std::string& id, std::uint64_t revision);
  // All entries that there were at the list's revision.
  bool ApplyList(const EndpointList& list);

  bool ApplyChanges(const EndpointChanges& changes);

  // All changes up to this revision are known.
  void SetComplete(std::uint64_t revision);
  std::uint64_t CompleteRevision() const { return this->complete; }

  // At which the endpoint is known; 0 when it isn't.
  std::uint64_t RevisionOf(const std::string& id) const;

  // What changed after the revision, up to the complete one; everything when
  // that is too long ago to tell.
  EndpointChanges ChangesSince(std::uint64_t revision) const;

  std::vector<EndpointEntry> Entries() const;
  // Equal for the same endpoints in the same states.
  std::uint64_t Digest() const { return this->digest; }

 private:
  struct Known {
    EndpointEntry entry;
    std::uint64_t changed_at = 0;  // Revision of its last change that counts.
  };

  std::map<std::string, Known> entries;
  // The last removals, with their revisions.
  std::map<std::string, std::uint64_t> removed;
  std::uint64_t removals_known_since = 0;
  std::uint64_t complete = 0;
  std::uint64_t digest = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_H_
