#ifndef LIBRARIES_DRIVER_KNOWN_HOSTS_H_
#define LIBRARIES_DRIVER_KNOWN_HOSTS_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_set>
#include <vector>

#include "libraries/base/node_address.h"
#include "libraries/decision/events.h"

namespace agaterun::driver {

// The hosts that may speak to the node port: those of the tickets in force, of
// the host list and of the settings. Until any ticket is in force all may, as a
// starting node knows nobody. Reading is safe from any thread; the setters are
// called on one strand.
class KnownHosts {
 public:
  void SetSeeds(const std::vector<NodeAddress>& seeds);
  void SetTickets(const decision::TicketState& state);
  void SetHostList(const std::vector<decision::HostListEntry>& hosts);

  bool Knows(NodeAddress peer) const;

 private:
  using IpSet = std::unordered_set<std::uint32_t>;

  void Publish();

  IpSet seeds;
  IpSet tickets;
  IpSet host_list;
  // Null while all may speak. Read once per greeting and heartbeat, so a lock
  // for as long as one copy takes is enough.
  std::shared_ptr<const IpSet> known;
  mutable std::mutex known_mutex;
};

}  // namespace agaterun::driver

#endif  // LIBRARIES_DRIVER_KNOWN_HOSTS_H_
