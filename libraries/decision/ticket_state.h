#ifndef LIBRARIES_DECISION_TICKET_STATE_H_
#define LIBRARIES_DECISION_TICKET_STATE_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// One backend server of a service and the node on its host.
struct EndpointState {
  std::string name;
  NodeAddress node;
  std::string region;
  std::string failure_domain;
};

// How requests with one method and path prefix are treated.
struct RouteState {
  std::string name;
  std::string method;       // "GET"; "*" matches any.
  std::string path_prefix;  // Of the target, after the service name.
  Importance importance = Importance::kNormal;
  bool idempotent = false;
  Duration deadline = 1s;  // Longest time that a request may take.
  int retries = 3;         // Retry allowance of an original request.
};

// The complete state of a service, as one ticket set it.
struct ServiceState {
  std::string name;
  int slots = 1;        // Requests that one endpoint can run at once; a hint.
  int connections = 1;  // Connections that one endpoint accepts.
  Duration queue_time = 100ms;  // Longest wait for a slot.
  // Status with which the backend server itself reports that it did not run a
  // request; 0 if it has none.
  int shed_status = 0;
  std::vector<EndpointState> endpoints;
  std::vector<RouteState> routes;
};

// The complete state of a policy: weights of callers and teams within one
// class. A share that no policy lists has the weight 1.
struct PolicyState {
  std::string name;
  std::map<std::string, double> share_weights;
  // Retries per first attempt that one node may send, over a sliding second.
  double retry_budget = 0.1;
};

// One service or policy in force, with the number of the ticket that set it and
// its text, which nodes send to each other.
struct TicketItem {
  std::string name;  // "service drafts", "policy shares".
  std::uint64_t number = 0;
  // Hash of the whole ticket. Of two tickets with one number, the one with the
  // larger hash wins, for all names that both contain.
  std::uint64_t ticket_hash = 0;
  std::uint64_t text_hash = 0;  // Of `text`; the last tie-breaker.
  std::string text;             // Canonical INI sections of this item.
  // Names of all items of the ticket. Empty if this is the only item.
  std::vector<std::string> siblings;
  // Either `service` or `policy` is set.
  std::shared_ptr<const ServiceState> service;
  std::shared_ptr<const PolicyState> policy;
};

// All state in force at one node: the merge of all tickets that it has
// received. Immutable once published; readers keep a shared pointer to it.
struct TicketState {
  // By item name.
  std::map<std::string, TicketItem, std::less<>> items;
  // Hash over all names, numbers and hashes. Equal digests mean equal state.
  std::uint64_t digest = 0;

  // The service named `name`, or nullptr.
  std::shared_ptr<const ServiceState> FindService(std::string_view name) const;
};

// The route of `service` that matches a request: the one with the longest
// matching path prefix, and of those an exact method before "*". nullptr if
// none matches.
const RouteState* FindRoute(const ServiceState& service,
                            std::string_view method,
                            std::string_view path);

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_TICKET_STATE_H_
