#ifndef LIBRARIES_MEMBERSHIP_REFUSED_ENTRIES_H_
#define LIBRARIES_MEMBERSHIP_REFUSED_ENTRIES_H_

#include <map>
#include <string>

#include "libraries/membership/directory_source.h"

namespace agaterun::membership {

// The refused entries of the platform's list that have been reported. The list
// is read over and over, and an entry is written again with each heartbeat.
class RefusedEntries {
 public:
  // Returns true if the entry has not been reported yet, or was refused for
  // another reason then.
  bool ShouldReport(const RefusedEntry& entry);

 private:
  std::map<std::string, std::string> reasons;  // By id.
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_REFUSED_ENTRIES_H_
