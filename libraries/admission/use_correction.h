#ifndef LIBRARIES_ADMISSION_USE_CORRECTION_H_
#define LIBRARIES_ADMISSION_USE_CORRECTION_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun::admission {

// Holds the slots that were planned for what begins against those that are
// seen in use. Requests that break off early use less than a whole one takes;
// without this, slots stand free while others are refused for want of them.
class UseCorrection {
 public:
  // Slots of a service, now.
  struct Use {
    double there = 0;
    double planned = 0;  // For what begins.
    double used = 0;     // By what runs or waits.
  };
  void Note(Instant now, std::string_view service, const Use& use);

  // By how much more than its slots may be planned for a service; at least 1.
  double StretchOf(std::string_view service) const;

 private:
  struct Account {
    Instant noted{};
    double planned = 0;  // Means over the last moments.
    double used = 0;
    double stretch = 1;
  };

  std::map<std::string, Account, std::less<>> accounts;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_USE_CORRECTION_H_
