#include "libraries/client/caller_client.h"

#include <asio/dispatch.hpp>
#include <asio/steady_timer.hpp>
#include <asio/strand.hpp>
#include <charconv>
#include <map>
#include <unordered_map>
#include <utility>

#include "libraries/backend_server/backend_client.h"
#include "libraries/base/clock.h"
#include "libraries/base/random.h"
#include "libraries/base/verify.h"
#include "libraries/caller/request_headers.h"

namespace agaterun::client {

namespace {

using decision::Outcome;
using decision::VisitId;

constexpr int kBindingRequiredStatus = 428;
constexpr std::string_view kRetryAfterMillisecondsHeader =
    "Agaterun-Retry-After-Ms";
// Bindings kept for later requests to one service.
constexpr std::size_t kKeptBindings = 256;

std::string ServiceOf(const std::string& target) {
  const auto end = target.find('/', 1);
  return target.substr(1, end == std::string::npos ? end : end - 1);
}

Duration RetryAfterOf(const HttpResponse& response) {
  const auto* text =
      FindHeader(response.headers, kRetryAfterMillisecondsHeader);
  std::int64_t milliseconds = 0;
  if (text != nullptr) {
    std::from_chars(text->data(), text->data() + text->size(), milliseconds);
  }
  return std::chrono::milliseconds(milliseconds);
}

}  // namespace

// All members are touched on the strand alone.
class CallerClient::Implementation final
    : public backend_server::BackendObserver,
      public std::enable_shared_from_this<Implementation> {
 public:
  Implementation(asio::io_context& io, Options options)
      : strand(asio::make_strand(io)),
        options(std::move(options)),
        random(this->options.seed) {
    VERIFY(!this->options.nodes.empty());
    for (const auto& node : this->options.nodes) {
      this->connections.push_back(backend_server::BackendClient::Create(
          io,
          {.backend_server = node,
           .idle_connections = this->options.connections},
          *this));
    }
  }

  void Call(CallerRequest request, Callback done) {
    asio::dispatch(this->strand, [self = this->shared_from_this(),
                                  request = std::move(request),
                                  done = std::move(done)]() mutable {
      self->Begin(std::move(request), std::move(done));
    });
  }

  void OnBackendResponded(VisitId visit, HttpResponse response) override {
    asio::dispatch(this->strand, [self = this->shared_from_this(), visit,
                                  response = std::move(response)]() mutable {
      self->OnResponse(visit.low, std::move(response));
    });
  }

  void OnBackendFailed(VisitId visit,
                       decision::BackendFailure failure) override {
    asio::dispatch(this->strand, [self = this->shared_from_this(), visit,
                                  failure] {
      self->OnFailure(visit.low, failure == decision::BackendFailure::kNotSent);
    });
  }

  void OnBackendReachable(bool /*reachable*/) override {}

 private:
  struct Try {
    explicit Try(const asio::strand<asio::io_context::executor_type>& strand)
        : timeout(strand), try_timeout(strand), pause(strand) {}

    CallerRequest request;
    Callback done;
    CallerResult result;
    std::string binding;
    Instant started{};
    std::size_t node = 0;
    bool waits_for_response = false;
    asio::steady_timer timeout;
    asio::steady_timer try_timeout;
    asio::steady_timer pause;
  };

  void Begin(CallerRequest request, Callback done) {
    const auto id = this->next_id++;
    auto call = std::make_shared<Try>(this->strand);
    call->request = std::move(request);
    call->done = std::move(done);
    call->started = this->clock.Now();
    if (!call->request.idempotent) {
      call->binding = this->TakeBinding(call->request.request.target);
    }
    call->timeout.expires_after(call->request.timeout);
    call->timeout.async_wait(
        [self = this->shared_from_this(), id](const std::error_code& error) {
          if (!error) {
            self->OnTimeout(id);
          }
        });
    this->calls.emplace(id, call);
    this->Send(id, *call);
  }

  void Send(std::uint64_t id, Try& call) {
    // A resend takes another node, as a caller behind a name would.
    call.node = this->random.Below(this->connections.size());
    auto request = call.request.request;
    if (!call.binding.empty()) {
      RemoveHeader(request.headers, caller::kBindingHeader);
      request.headers.push_back(
          {std::string(caller::kBindingHeader), call.binding});
    }
    const auto left = call.request.timeout - (this->clock.Now() - call.started);
    RemoveHeader(request.headers, caller::kTimeoutHeader);
    request.headers.push_back(
        {std::string(caller::kTimeoutHeader),
         std::to_string(std::max<std::int64_t>(
             1, static_cast<std::int64_t>(ToMilliseconds(left))))});
    ++call.result.sends;
    call.waits_for_response = true;
    this->StartTryTimeout(id, call);
    this->connections[call.node]->Start(VisitId{.low = id}, std::move(request));
  }

  void StartTryTimeout(std::uint64_t id, Try& call) {
    if (call.request.try_timeout == Duration{}) {
      return;
    }
    call.try_timeout.expires_after(call.request.try_timeout);
    call.try_timeout.async_wait(
        [self = this->shared_from_this(), id](const std::error_code& error) {
          const auto found = self->calls.find(id);
          if (!error && found != self->calls.end() &&
              found->second->waits_for_response) {
            // OnFailure follows and resends.
            const auto& call = *found->second;
            self->connections[call.node]->Abort(VisitId{.low = id});
          }
        });
  }

  void OnResponse(std::uint64_t id, HttpResponse response) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    auto call = found->second;
    call->waits_for_response = false;
    call->try_timeout.cancel();
    this->KeepNextBinding(*call, response);
    ReadOutcome(*call, response);
    call->result.response = std::move(response);
    if (call->result.outcome == Outcome::kCompleted) {
      this->Finish(id, *call);
      return;
    }
    if (call->result.response.status == kBindingRequiredStatus &&
        !call->request.idempotent) {
      this->SendWithFreshBinding(id, *call);
      return;
    }
    this->ResendOrFinish(id, *call, RetryAfterOf(call->result.response));
  }

  void OnFailure(std::uint64_t id, bool not_sent) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    auto call = found->second;
    call->waits_for_response = false;
    call->try_timeout.cancel();
    call->result.outcome = not_sent ? Outcome::kNotRun : Outcome::kUnknown;
    call->result.reason = "connection";
    this->ResendOrFinish(id, *call, Duration{});
  }

  void OnTimeout(std::uint64_t id) {
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      return;
    }
    auto call = found->second;
    if (call->waits_for_response) {
      call->result.outcome = Outcome::kUnknown;
      this->connections[call->node]->Abort(VisitId{.low = id});
    }
    call->result.reason = "timeout";
    this->Finish(id, *call);
  }

  void SendWithFreshBinding(std::uint64_t id, Try& call) {
    const auto* fresh =
        FindHeader(call.result.response.headers, caller::kNextBindingHeader);
    if (fresh == nullptr) {
      this->Finish(id, call);
      return;
    }
    call.binding = this->TakeBinding(call.request.request.target);
    if (call.binding.empty()) {
      call.binding = *fresh;
    }
    --call.result.sends;
    this->Send(id, call);
  }

  void ResendOrFinish(std::uint64_t id, Try& call, Duration wait) {
    const auto policy = call.request.resend_policy;
    if (policy == ResendPolicy::kNone ||
        call.result.sends > call.request.resends) {
      this->Finish(id, call);
      return;
    }
    // After a true refusal the old binding is closed; a new one is needed.
    if (call.result.outcome == Outcome::kNotRun) {
      call.binding = call.request.idempotent
                         ? ""
                         : this->TakeBinding(call.request.request.target);
    }
    if (policy == ResendPolicy::kAtOnce) {
      wait = Duration{};
    }
    if (this->clock.Now() + wait >= call.started + call.request.timeout) {
      this->Finish(id, call);
      return;
    }
    call.pause.expires_after(wait);
    call.pause.async_wait(
        [self = this->shared_from_this(), id](const std::error_code& error) {
          const auto found = self->calls.find(id);
          if (!error && found != self->calls.end()) {
            self->Send(id, *found->second);
          }
        });
  }

  void Finish(std::uint64_t id, Try& call) {
    const auto keep_alive = this->calls.at(id);
    call.timeout.cancel();
    call.try_timeout.cancel();
    call.pause.cancel();
    call.result.latency = this->clock.Now() - call.started;
    this->calls.erase(id);
    call.done(call.result);
  }

  static void ReadOutcome(Try& call, const HttpResponse& response) {
    const auto* outcome = FindHeader(response.headers, caller::kOutcomeHeader);
    const auto* reason = FindHeader(response.headers, caller::kReasonHeader);
    call.result.reason = reason != nullptr ? *reason : "";
    if (outcome == nullptr) {
      // A server that is no node of agaterun: its answer is what it is.
      call.result.outcome = Outcome::kCompleted;
      return;
    }
    call.result.outcome =
        FromName(decision::kOutcomeNames, *outcome).value_or(Outcome::kUnknown);
  }

  void KeepNextBinding(const Try& call, const HttpResponse& response) {
    const auto* next = FindHeader(response.headers, caller::kNextBindingHeader);
    if (next == nullptr) {
      return;
    }
    auto& kept = this->bindings[ServiceOf(call.request.request.target)];
    if (kept.size() < kKeptBindings) {
      kept.push_back(*next);
    }
  }

  std::string TakeBinding(const std::string& target) {
    auto& kept = this->bindings[ServiceOf(target)];
    if (kept.empty()) {
      return "";
    }
    auto binding = std::move(kept.back());
    kept.pop_back();
    return binding;
  }

  asio::strand<asio::io_context::executor_type> strand;
  Options options;
  MonotonicClock clock;
  SeededRandom random;
  std::vector<std::unique_ptr<backend_server::BackendClient>> connections;
  std::uint64_t next_id = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<Try>> calls;
  std::map<std::string, std::vector<std::string>> bindings;
};

CallerClient::CallerClient(asio::io_context& io, Options options)
    : implementation(std::make_shared<Implementation>(io, std::move(options))) {
}

CallerClient::~CallerClient() = default;

void CallerClient::Call(CallerRequest request, Callback done) {
  this->implementation->Call(std::move(request), std::move(done));
}

}  // namespace agaterun::client
