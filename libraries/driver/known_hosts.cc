#include "libraries/driver/known_hosts.h"

namespace agaterun::driver {

void KnownHosts::SetSeeds(const std::vector<NodeAddress>& seeds) {
  this->seeds.clear();
  for (const auto& seed : seeds) {
    this->seeds.insert(seed.ip);
  }
  this->Publish();
}

void KnownHosts::SetTickets(const decision::TicketState& state) {
  this->tickets.clear();
  for (const auto& [name, item] : state.items) {
    if (!item.service) {
      continue;
    }
    for (const auto& endpoint : item.service->endpoints) {
      this->tickets.insert(endpoint.node.ip);
    }
  }
  this->Publish();
}

void KnownHosts::SetHostList(
    const std::vector<decision::HostListEntry>& hosts) {
  this->host_list.clear();
  for (const auto& host : hosts) {
    this->host_list.insert(host.node.ip);
  }
  this->Publish();
}

void KnownHosts::Publish() {
  if (this->tickets.empty()) {
    return;
  }
  auto all = std::make_shared<IpSet>(this->tickets);
  all->insert(this->seeds.begin(), this->seeds.end());
  all->insert(this->host_list.begin(), this->host_list.end());
  const std::lock_guard lock(this->known_mutex);
  this->known = std::move(all);
}

bool KnownHosts::Knows(NodeAddress peer) const {
  std::shared_ptr<const IpSet> set;
  {
    const std::lock_guard lock(this->known_mutex);
    set = this->known;
  }
  return set == nullptr || set->contains(peer.ip);
}

}  // namespace agaterun::driver
