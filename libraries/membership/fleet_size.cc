#include "libraries/membership/fleet_size.h"

#include <algorithm>

namespace agaterun::membership {

namespace {

// Failure domains may be cut off from each other for an hour. A number of nodes
// is remembered for at least this long.
constexpr Duration kPeriod = 3600s;

}  // namespace

void FleetSize::Record(Instant now,
                       std::size_t nodes,
                       std::size_t own_domain_nodes) {
  if (now - this->period_start > kPeriod) {
    this->period_start = now;
    this->previous_highest = this->highest;
    this->highest = 0;
  }
  // A process that starts while other failure domains are cut off doesn't find
  // their nodes in the list.
  const auto by_domain = own_domain_nodes * this->failure_domains;
  this->highest = std::max({this->highest, nodes, by_domain});
}

std::size_t FleetSize::Nodes() const {
  return std::max(this->highest, this->previous_highest);
}

}  // namespace agaterun::membership
