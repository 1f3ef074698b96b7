#ifndef LIBRARIES_DECISION_ENDPOINT_SUBSET_H_
#define LIBRARIES_DECISION_ENDPOINT_SUBSET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "libraries/base/enum_names.h"
#include "libraries/decision/ticket_state.h"

namespace agaterun::decision {

// How near an endpoint is to an origin.
enum class Proximity : std::uint8_t {
  kFailureDomain,  // The origin's failure domain.
  kRegion,         // The origin's region, another failure domain.
  kOtherRegion,    // Another region.
};

inline constexpr int kProximityCount = 3;

inline constexpr std::array kProximityNames = {
    EnumName<Proximity>{Proximity::kFailureDomain, "failure-domain"},
    EnumName<Proximity>{Proximity::kRegion, "region"},
    EnumName<Proximity>{Proximity::kOtherRegion, "elsewhere"},
};

// Address and location of the origin that chooses a subset.
struct SubsetOrigin {
  NodeAddress self;
  std::string region;
  std::string failure_domain;
};

struct SubsetMember {
  const EndpointState* endpoint = nullptr;
  Proximity proximity = Proximity::kOtherRegion;
};

// Maximum number of endpoints of one service that an origin sends requests to.
inline constexpr std::size_t kSubsetSize = 24;

// Returns the endpoints that `origin` sends requests to: all of them, if there
// are no more than kSubsetSize. The result is deterministic, and a change of
// the list replaces as few members as possible. Members point into `endpoints`.
std::vector<SubsetMember> ChooseSubset(
    const std::vector<EndpointState>& endpoints,
    const SubsetOrigin& origin);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ENDPOINT_SUBSET_H_
