#ifndef LIBRARIES_ADMISSION_UTILIZATION_CORRECTION_H_
#define LIBRARIES_ADMISSION_UTILIZATION_CORRECTION_H_

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
class UtilizationCorrection {
 public:
  // Slots of a service at one point in time.
  struct Sample {
    double capacity = 0;
    double planned = 0;  // For admitted requests.
    double used = 0;     // By running and queued requests.
  };
  void AddSample(Instant now, std::string_view service, const Sample& sample);

  // Factor by which the planned slots may exceed the slots of the service; at
  // least 1.
  double OvercommitOf(std::string_view service) const;

 private:
  struct ServiceAverages {
    Instant last_update{};
    double planned = 0;  // Moving average.
    double used = 0;     // Moving average.
    double overcommit = 1;
  };

  std::map<std::string, ServiceAverages, std::less<>> averages;
};

}  // namespace agaterun::admission

#endif  // LIBRARIES_ADMISSION_UTILIZATION_CORRECTION_H_
