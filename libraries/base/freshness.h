#ifndef LIBRARIES_BASE_FRESHNESS_H_
#define LIBRARIES_BASE_FRESHNESS_H_

#include <algorithm>
#include <cmath>

#include "libraries/base/time.h"

namespace agaterun {

// Weight of something learned so long ago: 1 at age zero, halved by each half
// life.
inline double Freshness(Duration age, Duration half_life) {
  return std::exp2(-ToSeconds(std::max(Duration{}, age)) /
                   ToSeconds(half_life));
}

}  // namespace agaterun

#endif  // LIBRARIES_BASE_FRESHNESS_H_
