#ifndef LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_
#define LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_

#include <optional>

#include "libraries/membership/endpoint_entry.h"

namespace agaterun::membership {

// Decides which entry is the backend server's on this host: what is listed at
// its address, unless another server has answered there since. That the entry
// is gone is taken from the platform itself alone: a backend server which is
// cut off from the platform loses its entry and still serves.
class LocalEntryTracker {
 public:
  // `listed` is the newest entry at the address; `is_authoritative` when this
  // node has it from the platform or the server. Returns what is believed now.
  std::optional<EndpointEntry> Take(std::optional<EndpointEntry> listed,
                                    bool is_authoritative);

  // Others say that the entry is gone; the platform is to be asked.
  bool IsUnconfirmed() const { return this->in_doubt; }

  // The backend server said that it is another one than was believed.
  void RecordOtherInstance() { this->ended = this->believed; }

 private:
  std::optional<EndpointEntry> believed;
  std::optional<EndpointEntry> ended;
  bool in_doubt = false;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_TRACKER_H_
