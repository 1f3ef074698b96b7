#ifndef LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_
#define LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_

#include <optional>

#include "libraries/membership/endpoint_entry.h"

namespace agaterun::membership {

// Decides which entry belongs to the backend server on this host: the one
// listed at its address, unless another server has responded there since. A
// removal is accepted from the platform itself only, not from other nodes: a
// backend server that is partitioned from the platform loses its entry and
// still serves.
class LocalEntryTracker {
 public:
  // `listed` is the newest entry at the address. `is_authoritative` is true
  // when this node received it from the platform or the backend server rather
  // than from another node. Returns the entry in use from now on.
  std::optional<EndpointEntry> Update(std::optional<EndpointEntry> listed,
                                      bool is_authoritative);

  // True when other nodes reported the removal of the entry. The platform has
  // to be queried to confirm it.
  bool IsUnconfirmed() const { return this->entry_unconfirmed; }

  // The server at the address responded that it is another instance than the
  // one of the entry in use.
  void RecordOtherInstance() { this->replaced_entry = this->current_entry; }

 private:
  std::optional<EndpointEntry> current_entry;
  std::optional<EndpointEntry> replaced_entry;
  bool entry_unconfirmed = false;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_
