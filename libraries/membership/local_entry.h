#ifndef LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_H_
#define LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libraries/membership/directory_source.h"

namespace agaterun::membership {

// Decides what is believed of the backend server on this host. The platform's
// own word on its entry goes before every list: a list may be old, also one
// that another node passes on.
class LocalEntry {
 public:
  // The platform's word on the entry. Returns what is believed now.
  std::optional<EndpointEntry> TakeWord(const LocalEndpoint& word);

  // A list names this entry for the address while the platform does not answer
  // this node. True when it may be believed: nothing else is known, and the
  // platform has not said before that this life of the server is over.
  bool MayBelieveList(const EndpointEntry& listed) const;

 private:
  std::optional<EndpointEntry> last;  // By the platform's own word.
  std::string ended_id;
  std::uint64_t ended_start = 0;
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_LOCAL_ENTRY_H_
