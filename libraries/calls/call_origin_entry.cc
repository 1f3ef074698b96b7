#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "libraries/accounts/authentication.h"
#include "libraries/base/http_status.h"
#include "libraries/calls/call_origin.h"
#include "libraries/calls/error_response.h"
#include "libraries/calls/importance.h"

// CallOrigin's handling of a new request until it is dispatched: route, key,
// quota and admission.
namespace agaterun::calls {

namespace {

using decision::CallId;
using decision::Reason;

std::optional<Duration> ParseMilliseconds(const std::string* text) {
  if (text == nullptr) {
    return std::nullopt;
  }
  std::int64_t value = 0;
  const auto* end = text->data() + text->size();
  const auto [last, error] = std::from_chars(text->data(), end, value);
  if (error != std::errc() || last != end || value < 0) {
    return std::nullopt;
  }
  constexpr std::int64_t kMaxMilliseconds = 24LL * 3600 * 1000;
  return std::chrono::milliseconds(std::min(value, kMaxMilliseconds));
}

// Hash of all that decides what the request does at a backend server, which is
// the same each time it is sent. The service isn't part of it: a request that
// crashes backend servers may do so at each service of its route.
std::uint64_t ComputeFingerprint(const HttpRequest& request,
                                 std::string_view account) {
  const auto* host = FindHeader(request.headers, "Host");
  const auto authority =
      host == nullptr ? std::string() : routing::NormalizedHost(*host);
  const std::array<std::string_view, 5> parts = {
      authority, account, request.method, request.target, request.body};
  std::uint64_t hash = 0;
  for (const auto part : parts) {
    // Each part is hashed apart, so that moving bytes from one to the next
    // changes the result.
    hash = XXH64(part.data(), part.size(), hash);
  }
  return hash;
}

}  // namespace

void CallOrigin::RejectRequest(CallId id,
                               const HttpRequest& request,
                               const CallSummary& summary,
                               Duration retry_after) {
  auto response =
      MakeErrorResponse(summary.status, summary.reason, retry_after);
  if (summary.status == http_status::kUnauthorized) {
    // RFC 9110, section 15.5.2, requires this header.
    response.headers.push_back({"WWW-Authenticate", "ApiKey"});
  }
  this->output.RespondToCaller(
      id, std::make_shared<const HttpResponse>(std::move(response)), request,
      summary);
}

void CallOrigin::RejectAsUnavailable(CallId id,
                                     const HttpRequest& request,
                                     Reason reason) {
  this->RejectRequest(id, request,
                      {.status = http_status::kUnavailable, .reason = reason},
                      kRejectionRetryAfter);
}

bool CallOrigin::IsAccepting(CallId id,
                             const HttpRequest& request,
                             const std::optional<NestedCallParent>& parent) {
  if (this->stopping && !parent) {
    this->RejectAsUnavailable(id, request, Reason::kLeaving);
    return false;
  }
  if (parent && parent->is_abandoned) {
    this->RejectAsUnavailable(id, request, Reason::kCancelled);
    return false;
  }
  return true;
}

const routing::Route* CallOrigin::FindRoute(const HttpRequest& request) const {
  const auto* host = FindHeader(request.headers, "Host");
  return host == nullptr ? nullptr : this->routes->Find(*host, request.target);
}

bool CallOrigin::IsAcceptable(CallId id,
                              const HttpRequest& request,
                              const routing::Route* route) {
  if (route == nullptr) {
    this->RejectRequest(
        id, request,
        {.status = http_status::kNotFound, .reason = Reason::kNoSuchRoute});
    return false;
  }
  if (FindHeader(request.headers, this->dialect.request_id) == nullptr) {
    this->RejectRequest(
        id, request,
        {.status = http_status::kBadRequest, .reason = Reason::kMalformed});
    return false;
  }
  return true;
}

bool CallOrigin::FindTrialNode(Instant now,
                               CallId id,
                               const HttpRequest& request,
                               std::uint64_t fingerprint,
                               const std::string& service,
                               std::optional<NodeAddress>& trial_node) {
  if (!this->crashes.IsQuarantined(now, fingerprint)) {
    return true;
  }
  trial_node = this->crashes.TrialNode(now, fingerprint,
                                       this->fleet.ListedNodesOf(service));
  if (!trial_node) {
    this->RejectAsUnavailable(id, request, Reason::kQuarantined);
  }
  return trial_node.has_value();
}

bool CallOrigin::HasKey(const HttpRequest& request) const {
  return this->keys->HasAccounts() &&
         FindHeader(request.headers, this->dialect.account_key) != nullptr;
}

bool CallOrigin::MayInheritAccount(const NestedCallParent& parent,
                                   const routing::Route& route) const {
  // A caller chooses its request ids. If it needs no key for one request, an id
  // that extends this request's id doesn't admit it to other routes.
  return !parent.account.empty() || !route.requires_key ||
         !this->keys->HasAccounts();
}

bool CallOrigin::MayHaveUnknownParent(Instant now,
                                      const HttpRequest& request) const {
  // Nested calls have no key, and no request runs beyond its route's timeout.
  const auto* request_id =
      FindHeader(request.headers, this->dialect.request_id);
  return !this->HasKey(request) && request_id != nullptr &&
         ParentIdOf(*request_id) &&
         now - this->options.started < this->longest_timeout;
}

bool CallOrigin::Authenticate(Instant now,
                              CallId id,
                              const HttpRequest& request,
                              const routing::Route& route,
                              const std::optional<NestedCallParent>& parent,
                              const routing::ClientAccount*& account) {
  if (parent && this->MayInheritAccount(*parent, route)) {
    return true;
  }
  if (!this->are_keys_confirmed && this->keys->HasAccounts() &&
      route.requires_key) {
    this->RejectAsUnavailable(id, request, Reason::kWaitingForState);
    return false;
  }
  const auto authentication = accounts::Authenticate(
      *this->keys, route, request.headers, this->dialect.account_key);
  if (!authentication.accepted) {
    if (this->MayHaveUnknownParent(now, request)) {
      // Whether the key is missing or not needed is unknown.
      this->RejectAsUnavailable(id, request, Reason::kWaitingForState);
      return false;
    }
    this->RejectRequest(id, request,
                        {.route = route.name,
                         .status = http_status::kUnauthorized,
                         .reason = Reason::kUnknownKey});
    return false;
  }
  account = authentication.account;
  return true;
}

bool CallOrigin::TakeQuota(Instant now,
                           CallId id,
                           const HttpRequest& request,
                           const routing::Route& route,
                           const routing::ClientAccount* account) {
  if (account == nullptr) {
    return true;
  }
  const auto verdict = this->quotas.Take(now, *account);
  if (!verdict.admitted) {
    this->RejectRequest(id, request,
                        {.route = route.name,
                         .account = account->name,
                         .status = http_status::kTooManyRequests,
                         .reason = Reason::kQuotaExceeded},
                        verdict.retry_after);
  }
  return verdict.admitted;
}

void CallOrigin::SetForwardedHeaders(HttpHeaders& headers,
                                     const std::string& account) const {
  RemoveHeader(headers, this->dialect.deadline);
  RemoveHeader(headers, this->dialect.caller_service);
  RemoveHeader(headers, this->dialect.expected_instance);
  headers.push_back({this->dialect.caller_service, this->options.service});
  if (this->keys->HasAccounts()) {
    RemoveHeader(headers, this->dialect.account_key);
    RemoveHeader(headers, this->dialect.account);
  }
  if (!account.empty()) {
    headers.push_back({this->dialect.account, account});
  }
}

void CallOrigin::OnRequest(Instant now,
                           CallId id,
                           HttpRequest request,
                           std::optional<NestedCallParent> parent) {
  if (!this->routes) {
    this->RejectAsUnavailable(id, request, Reason::kWaitingForState);
    return;
  }
  if (parent && this->HasKey(request)) {
    parent.reset();
  }
  if (parent) {
    this->output.NestedCallStarted();
  }
  if (!this->IsAccepting(id, request, parent)) {
    return;
  }
  const auto* route = this->FindRoute(request);
  if (!this->IsAcceptable(id, request, route)) {
    return;
  }
  const routing::ClientAccount* account = nullptr;
  if (!this->Authenticate(now, id, request, *route, parent, account)) {
    return;
  }
  const auto* service = this->service_picker.Pick(*route);
  if (service == nullptr) {
    this->RejectAsUnavailable(id, request, Reason::kNoSuchService);
    return;
  }
  auto account_name = account != nullptr ? account->name
                      : parent           ? parent->account
                                         : std::string();
  const auto fingerprint = ComputeFingerprint(request, account_name);
  std::optional<NodeAddress> trial_node;
  if (!this->FindTrialNode(now, id, request, fingerprint, *service,
                           trial_node) ||
      !this->TakeQuota(now, id, request, *route, account)) {
    return;
  }
  const auto caller_deadline =
      ParseMilliseconds(FindHeader(request.headers, this->dialect.deadline));
  const auto time_limit =
      std::min(route->timeout, caller_deadline.value_or(route->timeout));
  this->SetForwardedHeaders(request.headers, account_name);
  if (!parent) {
    this->budget.AddRequest(now, *service);
  }
  Call call{
      .id = id,
      .request = std::make_shared<const HttpRequest>(std::move(request)),
      .fingerprint = fingerprint,
      .trial_node = trial_node,
      .table = this->routes,
      .route = route,
      .service = *service,
      .account = std::move(account_name),
      .arrived = now,
      .deadline = now + time_limit,
      .parent = parent,
      .importance = parent ? parent->importance : ImportanceOf(*route),
      .account_priority =
          parent ? parent->account_priority : AccountPriorityOf(account),
  };
  this->deadlines.emplace(call.deadline, id);
  auto& stored = this->calls.emplace(id, std::move(call)).first->second;
  if (!parent && this->ShedIfOverloaded(now, stored, caller_deadline)) {
    return;
  }
  this->Dispatch(now, stored, /*needs_free_slot=*/false);
}

bool CallOrigin::ShedIfOverloaded(Instant now,
                                  Call& call,
                                  std::optional<Duration> caller_deadline) {
  const auto verdict = this->admission.Decide(
      now, {.route = call.route->name,
            .rank = decision::RankOf(call.account_priority, call.importance),
            .target_latency = call.route->target_latency,
            .deadline = caller_deadline});
  call.returned_after_refusal =
      verdict.demand_kind == decision::DemandKind::kReturned;
  if (verdict.admitted) {
    return false;
  }
  call.reason = Reason::kOverloaded;
  call.overloaded_service = verdict.service;
  this->EndCall(now, call,
                MakeErrorResponse(http_status::kUnavailable, call.reason,
                                  verdict.retry_after),
                call.reason);
  return true;
}

}  // namespace agaterun::calls
