#ifndef LIBRARIES_ADMISSION_USE_CORRECTION_H_
#define LIBRARIES_ADMISSION_USE_CORRECTION_H_

#include <map>
#include <string>
#include <string_view>

#include "libraries/base/time.h"

namespace agaterun::admission {

// Compares the slots that were planned for admitted requests with the slots
// that are actually in use, and allows overcommitment by the difference.
// Requests that fail early hold their slots for less time than a complete one;
// without the correction, slots stay idle while other requests are refused for
// lack of slots.
class UseCorrection {
 public:
  // Slots of a service at one point in time.
  struct Use {
    double there = 0;
    double planned = 0;  // For admitted requests.
    double used = 0;     // By running and queued requests.
  };
  void Note(Instant now, std::string_view service, const Use& use);

  // Factor by which the planned slots may exceed the slots of the service; at
  // least 1.
  double StretchOf(std::string_view service) const;

 private:
  struct Account {
    Instant noted{};
    double planned = 0;  // Moving average.
    double used = 0;     // Moving average.
    double stretch = 1;
  };

  std::map<std::string, Account, std::less<>> accounts;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_USE_CORRECTION_H_
