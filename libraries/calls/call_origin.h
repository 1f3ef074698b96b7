#ifndef LIBRARIES_CALLS_CALL_ORIGIN_H_
#define LIBRARIES_CALLS_CALL_ORIGIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "libraries/accounts/account_quotas.h"
#include "libraries/accounts/key_index.h"
#include "libraries/admission/entry_admission.h"
#include "libraries/base/http_message.h"
#include "libraries/base/random.h"
#include "libraries/calls/dialect.h"
#include "libraries/calls/visit_gate.h"
#include "libraries/decision/messages.h"
#include "libraries/membership/fleet.h"
#include "libraries/retries/crash_history.h"
#include "libraries/retries/retry_quota.h"
#include "libraries/routing/endpoint_chooser.h"
#include "libraries/routing/response_sizes.h"
#include "libraries/routing/route_table.h"
#include "libraries/routing/weighted_service_picker.h"

namespace agaterun::calls {

// How a call ended. Goes into the log and the metrics.
struct CallSummary {
  std::string route;
  std::string service;
  std::string account;             // Client account; empty if it has none.
  std::string overloaded_service;  // Without capacity, if shed on entry.
  int status = 0;
  decision::Reason reason = decision::Reason::kNone;
  int attempts = 0;
  Duration elapsed{};
  bool nested = false;
  decision::Importance importance = decision::Importance::kNormal;
  NodeAddress last_node;
};

// Receives the actions of the call origin.
class OriginOutput {
 public:
  virtual ~OriginOutput() = default;
  virtual void SendVisit(NodeAddress to,
                         const decision::VisitRequest& visit,
                         const SharedRequest& request) = 0;
  virtual void CancelVisit(NodeAddress to,
                           const decision::AttemptId& attempt) = 0;
  // A nested call of a visit has arrived.
  virtual void NestedCallStarted() = 0;
  // A nested call of the visit `parent` has ended. `costs` is the slot time
  // that it took at each service, including its own nested calls.
  virtual void NestedCallEnded(
      VisitNumber parent,
      const std::vector<decision::ServiceCost>& costs) = 0;
  virtual void RespondToCaller(decision::CallId call,
                               const decision::Answer& response,
                               const HttpRequest& request,
                               const CallSummary& summary) = 0;
};

// Sends the requests of callers on this host to the nodes that guard the
// backend servers. Each request gets exactly one final response.
class CallOrigin {
 public:
  struct Options {
    NodeAddress self;
    std::uint64_t incarnation = 0;
    std::string failure_domain;
    std::string service;  // Service of the backend server on this host.
    retries::RetryQuota::Options retry_options;
    Instant started{};  // Start of the process.
  };

  // `dialect`, `crashes`, `fleet`, `random` and `output` must outlive the
  // origin.
  CallOrigin(Options options,
             const Dialect& dialect,
             retries::CrashHistory& crashes,
             membership::Fleet& fleet,
             RandomSource& random,
             OriginOutput& output);

  // Sets the configuration in force. `key_seed` is random and the same for the
  // lifetime of the process.
  void SetConfiguration(
      std::shared_ptr<const routing::Configuration> configuration,
      std::uint64_t key_seed);
  // While the keys aren't confirmed, requests that need one are refused as
  // unavailable, since their key may have been removed.
  void SetKeysConfirmed(bool is_confirmed) {
    this->are_keys_confirmed = is_confirmed;
  }
  void SetService(std::string service) {
    this->options.service = std::move(service);
  }
  void SetRetryOptions(retries::RetryQuota::Options retry_options) {
    this->budget.SetOptions(retry_options);
  }
  retries::RetryQuota& RetryBudget() { return this->budget; }

  // `parent` is set when the id of the request is that of a call nested in a
  // request that the local backend server runs or may run.
  void OnRequest(Instant now,
                 decision::CallId call,
                 HttpRequest request,
                 std::optional<NestedCallParent> parent);
  void OnCallerDisconnected(Instant now, decision::CallId call);
  // Refuses new requests from now on, so that callers use another host. Nested
  // calls of requests that run on this host are still accepted.
  void StopAcceptingCalls() { this->stopping = true; }
  // Responds to all calls in flight, before the process exits.
  void EndAllCalls(Instant now);
  void OnReply(Instant now,
               const decision::VisitReply& reply,
               const decision::Answer& answer);
  // The connection to the node was lost. `was_sent` is false when no byte of
  // the attempt was written to it.
  void OnAttemptLost(Instant now,
                     const decision::AttemptId& attempt,
                     bool was_sent);
  void OnTick(Instant now);
  std::optional<Instant> NextWake() const;

  admission::EntryAdmission& Admission() { return this->admission; }
  accounts::AccountQuotas& Quotas() { return this->quotas; }
  const accounts::AccountQuotas& Quotas() const { return this->quotas; }
  // Updates admission with the slots that are usable now and with their
  // utilization.
  void UpdateAdmission(Instant now);

  std::size_t CallsInFlight() const { return this->calls.size(); }

 private:
  struct Attempt {
    NodeAddress node;
    // Only a capacity query was sent, so a request whose attempt gets no reply
    // has certainly not run.
    bool is_capacity_query = false;
    std::uint32_t number = 0;
    Instant sent{};
  };

  struct Call {
    decision::CallId id = 0;
    SharedRequest request;
    std::uint64_t fingerprint = 0;
    // The only node that may run it, if it is quarantined.
    std::optional<NodeAddress> trial_node;
    std::shared_ptr<const routing::RouteTable> table;  // Keeps `route` alive.
    const routing::Route* route = nullptr;
    std::string service;
    std::string account;
    Instant arrived{};
    Instant deadline{};  // For the final response.
    std::optional<NestedCallParent> parent;
    decision::Importance importance = decision::Importance::kNormal;
    std::uint8_t account_priority = 0;
    bool returned_after_refusal = false;
    bool may_have_run = false;
    int endpoints_reached = 0;  // Endpoints that may have received it.
    std::uint32_t attempts = 0;
    std::vector<NodeAddress> tried;
    std::optional<Attempt> attempt;
    decision::Reason reason = decision::Reason::kNone;
    Duration retry_after{};
    // Estimated slot time of the call at the gate that refused it last.
    std::vector<decision::ServiceCost> refused_costs;
    std::string overloaded_service;
    NodeAddress last_node;
  };

  Call* FindCurrent(const decision::AttemptId& attempt);
  void RejectRequest(decision::CallId id,
                     const HttpRequest& request,
                     const CallSummary& summary,
                     Duration retry_after = {});
  void RejectAsUnavailable(decision::CallId id,
                           const HttpRequest& request,
                           decision::Reason reason);
  // The route of the request; nullptr if there is none.
  const routing::Route* FindRoute(const HttpRequest& request) const;
  // The checks below respond to the caller and return false when the request
  // is not to run.
  bool IsAccepting(decision::CallId id,
                   const HttpRequest& request,
                   const std::optional<NestedCallParent>& parent);
  bool IsAcceptable(decision::CallId id,
                    const HttpRequest& request,
                    const routing::Route* route);
  // Sets `trial_node` to the only node that may run the request if it is
  // quarantined.
  bool FindTrialNode(Instant now,
                     decision::CallId id,
                     const HttpRequest& request,
                     std::uint64_t fingerprint,
                     const std::string& service,
                     std::optional<NodeAddress>& trial_node);
  // True if the request has a key of a client account, or what looks like one.
  // Nested calls have none.
  bool HasKey(const HttpRequest& request) const;
  // True if the nested call may run for its parent's account.
  bool MayInheritAccount(const NestedCallParent& parent,
                         const routing::Route& route) const;
  // True if the request may be a nested call of a request that was sent to the
  // backend server by the process before this one.
  bool MayHaveUnknownParent(Instant now, const HttpRequest& request) const;
  // Sets `account` to the request's client account, nullptr if it has none.
  bool Authenticate(Instant now,
                    decision::CallId id,
                    const HttpRequest& request,
                    const routing::Route& route,
                    const std::optional<NestedCallParent>& parent,
                    const routing::ClientAccount*& account);
  bool TakeQuota(Instant now,
                 decision::CallId id,
                 const HttpRequest& request,
                 const routing::Route& route,
                 const routing::ClientAccount* account);
  // Sets the headers that backend servers expect, and removes those that no
  // caller may set.
  void SetForwardedHeaders(HttpHeaders& headers,
                           const std::string& account) const;
  // A node that the call has not been sent to yet. Only one with free capacity
  // if `needs_free_slot` is set.
  std::optional<NodeAddress> ChooseNode(Instant now,
                                        const Call& call,
                                        bool needs_free_slot);
  // Sends the call to a node that it has not been sent to yet. Ends the call
  // when there is none.
  void Dispatch(Instant now, Call& call, bool needs_free_slot);
  // Sends the call to the node. Sends a capacity query first if the request
  // isn't idempotent and the node has not reported recently.
  void SendTo(Instant now, Call& call, NodeAddress node);
  void SendAttempt(Instant now,
                   Call& call,
                   NodeAddress node,
                   bool is_capacity_query);
  bool NeedsCapacityQuery(Instant now, const Call& call, NodeAddress node);
  // Sends calls whose capacity query timed out to other nodes.
  void MoveUnansweredQueries(Instant now);
  // Retries idempotent calls that wait for unresponsive nodes at other nodes.
  void RetryUnresponsiveAttempts(Instant now);
  void HandleNotRun(Instant now, Call& call, const decision::VisitReply& reply);
  // Handles an attempt that may have run and returned no response.
  void HandleUnknownOutcome(Instant now, Call& call, decision::Reason reason);
  bool MayRetry(Instant now, Call& call, double cost);
  double RetryCost(const Call& call);
  // Refuses the call when the capacity doesn't suffice for the load that it
  // causes. `caller_deadline` is the deadline that the caller set. Returns true
  // when the call was refused.
  bool ShedIfOverloaded(Instant now,
                        Call& call,
                        std::optional<Duration> caller_deadline);
  Duration MaxWait(Instant now, const Call& call) const;
  void RefuseCall(Instant now, Call& call);
  void EndExpiredCall(Instant now, Call& call);
  void EndCall(Instant now,
               Call& call,
               const decision::Answer& response,
               decision::Reason reason);
  // The same with a response of this node itself.
  void EndCall(Instant now,
               Call& call,
               HttpResponse response,
               decision::Reason reason);
  void CancelCurrentAttempt(Instant now, Call& call, bool is_unresponsive);

  Options options;
  const Dialect& dialect;
  retries::CrashHistory& crashes;
  membership::Fleet& fleet;
  RandomSource& random;
  OriginOutput& output;
  std::shared_ptr<const routing::RouteTable> routes;
  std::shared_ptr<const accounts::KeyIndex> keys;
  bool are_keys_confirmed = true;
  Duration longest_timeout{};  // Of the routes in force.
  routing::WeightedServicePicker service_picker;
  routing::EndpointChooser chooser;
  routing::ResponseSizes response_sizes;
  retries::RetryQuota budget;
  admission::EntryAdmission admission;
  accounts::AccountQuotas quotas;
  bool stopping = false;
  std::unordered_map<decision::CallId, Call> calls;
  std::multimap<Instant, decision::CallId> deadlines;
};

}  // namespace agaterun::calls

#endif  // LIBRARIES_CALLS_CALL_ORIGIN_H_
