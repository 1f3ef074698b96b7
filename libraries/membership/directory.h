#ifndef LIBRARIES_MEMBERSHIP_DIRECTORY_H_
#define LIBRARIES_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "libraries/membership/directory_source.h"
#include "libraries/membership/endpoint_entry.h"

namespace agaterun::membership {

// Known state of all endpoints. Each entry or removal has a revision of the
// platform's service. One with an earlier revision never replaces it, whether
// it comes from the platform or from another node.
class Directory {
 public:
  // The following return true when something changed that is part of the
  // digest, that is, anything but revisions and warm-up times.
  bool ApplyEntry(EndpointEntry entry);
  bool ApplyRemoval(const std::string& id, std::uint64_t revision);
  // Applies a list of all entries at its revision. Entries that it lacks were
  // removed.
  bool ApplyList(const EndpointList& list);

  bool ApplyChanges(const EndpointChanges& changes);

  // Applies entries that may be older than the known ones although their
  // revisions are later, since they may come from the copy of a service that
  // was restored: adds endpoints and incarnations that were not known before,
  // and marks those that leave. Known removals stay.
  bool MergeEntries(const std::vector<EndpointEntry>& restored);

  // Records that all changes up to this revision have been applied.
  void SetCompleteRevision(std::uint64_t revision);
  std::uint64_t CompleteRevision() const { return this->complete_revision; }

  // Revision of the endpoint's entry; 0 when there is none.
  std::uint64_t RevisionOf(const std::string& id) const;

  // Changes after the revision, up to the complete revision. Returns all
  // entries when the removals since `revision` are no longer stored.
  EndpointChanges ChangesSince(std::uint64_t revision) const;

  std::vector<EndpointEntry> Entries() const;
  // Equal in directories that hold the same endpoints in the same states.
  std::uint64_t Digest() const { return this->digest; }

 private:
  struct StoredEntry {
    EndpointEntry entry;
    std::uint64_t changed_at = 0;  // Revision of the last digest change.
  };

  std::map<std::string, StoredEntry> entries;
  // Revisions of the latest removals by endpoint id.
  std::map<std::string, std::uint64_t> removed;
  std::uint64_t removals_known_since = 0;
  std::uint64_t complete_revision = 0;
  std::uint64_t digest = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_DIRECTORY_H_
