#ifndef LIBRARIES_PROXY_NODE_STATE_H_
#define LIBRARIES_PROXY_NODE_STATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/accounts/account_quotas.h"
#include "libraries/base/node_address.h"
#include "libraries/calls/dialect.h"
#include "libraries/decision/messages.h"
#include "libraries/membership/directory_source.h"
#include "libraries/membership/fleet.h"
#include "libraries/retries/crash_history.h"
#include "libraries/retries/retry_quota.h"

namespace agaterun::proxy {

// State of a node as shown to operators.
struct NodeState {
  std::uint64_t configuration = 0;  // Version in force; 0 without one.
  std::uint64_t endpoint_list = 0;  // Revision of the last complete list.
  membership::ReadingMode reading_mode = membership::ReadingMode::kAlone;
  bool platform_reached = false;
  bool stopping = false;
  std::size_t calls_in_flight = 0;
  std::string service;   // Of the backend server on this host.
  std::string instance;  // Of the same; empty if it isn't listed.
  decision::LoadReport load;
  calls::BackendNotice notice;  // Of the backend server on this host.
  // The client accounts that use most of their limits.
  std::vector<accounts::AccountQuotas::AccountUse> accounts;
  std::vector<retries::RetryQuota::Use> retries;
  std::size_t retry_fleet_size = 0;  // Nodes that share the extra retries.
  retries::CrashHistory::Counts crashes;
  std::uint64_t connections_opened = 0;  // Opened to the backend server.
  const std::unordered_map<NodeAddress, membership::FleetNode>& nodes;

  std::string ToJson() const;
};

}  // namespace agaterun::proxy

#endif  // LIBRARIES_PROXY_NODE_STATE_H_
