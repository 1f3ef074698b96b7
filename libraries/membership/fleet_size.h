#ifndef LIBRARIES_MEMBERSHIP_FLEET_SIZE_H_
#define LIBRARIES_MEMBERSHIP_FLEET_SIZE_H_

#include <cstddef>

#include "libraries/base/time.h"

namespace agaterun::membership {

// Number of nodes that a limit of the whole fleet is divided among. Rather too
// high than too low: the entry of a backend server that has crashed, or that
// can't reach the platform, lapses while the node beside it goes on sending, so
// a shorter list is no proof that there are fewer nodes.
class FleetSize {
 public:
  // `failure_domains` is the number of failure domains that have nodes.
  explicit FleetSize(std::size_t failure_domains)
      : failure_domains(failure_domains) {}

  void SetFailureDomains(std::size_t domains) {
    this->failure_domains = domains;
  }

  // Records the numbers of nodes known now, in all failure domains and in this
  // one.
  void Record(Instant now, std::size_t nodes, std::size_t own_domain_nodes);

  // Zero while no nodes are known.
  std::size_t Nodes() const;

 private:
  std::size_t failure_domains;
  // The highest number in the current period and in the one before it.
  std::size_t highest = 0;
  std::size_t previous_highest = 0;
  Instant period_start{};
};

}  // namespace agaterun::membership

#endif  // LIBRARIES_MEMBERSHIP_FLEET_SIZE_H_
