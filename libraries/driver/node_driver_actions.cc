// How the driver carries out each action of the decisions.

#include <utility>

#include "libraries/base/log.h"
#include "libraries/caller/request_headers.h"
#include "libraries/driver/node_driver.h"

namespace agaterun::driver {

namespace {

using decision::RespondToCaller;

// The answers of a drained node have this long to reach their readers.
constexpr Duration kFlushTime = 2s;
constexpr Duration kFlushPoll = 20ms;

}  // namespace

void NodeDriver::Perform(const RespondToCaller& action) {
  const auto found = this->requests.calls.find(action.call);
  if (found == this->requests.calls.end()) {
    return;
  }
  const auto stored = std::move(found->second);
  this->requests.calls.erase(found);
  this->metrics.RecordCall(stored.importance, action.outcome, action.reason,
                           this->clock.Now() - stored.arrived);
  this->ServerOf(stored.nested)
      ->Answer(action.call, caller::WriteCallerResponse(action));
}

void NodeDriver::Perform(const decision::SendAttempt& action) {
  const auto& attempt = action.request.attempt;
  const auto found = this->requests.calls.find(attempt.call);
  static const HttpRequest empty_request;
  const bool runs = action.request.kind == decision::VisitKind::kRun;
  if (runs && found == this->requests.calls.end()) {
    this->own_events.emplace_back(
        decision::AttemptLost{.attempt = attempt, .sent = false});
    return;
  }
  if (action.to != this->settings.node) {
    this->links->SendVisit(action.to, action.request,
                           runs ? *found->second.request : empty_request);
    return;
  }
  // This node's own backend server: no network between origin and gate.
  if (runs) {
    this->requests.visits[attempt].request = found->second.request;
  }
  this->own_events.emplace_back(
      decision::VisitArrived{.from = action.to, .request = action.request});
}

void NodeDriver::Perform(const decision::CancelAttempt& action) {
  if (action.to == this->settings.node) {
    this->own_events.emplace_back(
        decision::VisitCancelled{.attempt = action.attempt});
    return;
  }
  this->links->CancelVisit(action.to, action.attempt);
}

void NodeDriver::Perform(const decision::ReplyToOrigin& action) {
  const auto& reply = action.reply;
  this->requests.visits.erase(reply.attempt);
  this->metrics.RecordVisit(reply.outcome, reply.reason);
  if (reply.attempt.origin == this->settings.node) {
    this->own_events.emplace_back(
        decision::AttemptReplied{.reply = reply, .answer = action.answer});
    return;
  }
  this->links->SendReply(action.to, reply, action.answer);
}

void NodeDriver::Perform(const decision::SendHeartbeat& action) {
  this->links->SendHeartbeat(action.to, action.heartbeat);
}

void NodeDriver::Perform(const decision::SendTicketItems& action) {
  this->links->SendTicketItems(action.to, action.items);
}

void NodeDriver::Perform(const decision::RequestTicketItems& action) {
  this->links->RequestTicketItems(action.to, action.have);
}

void NodeDriver::Perform(const decision::StartBackend& action) {
  const auto found = this->requests.visits.find(action.attempt);
  if (found == this->requests.visits.end() || !this->backend) {
    this->own_events.emplace_back(decision::BackendFailed{
        .visit = action.visit, .failure = decision::BackendFailure::kNotSent});
    return;
  }
  auto request = caller::ForBackendServer(*found->second.request, action.visit,
                                          action.remaining);
  this->requests.visits.erase(found);
  this->requests.started.emplace(action.visit, this->clock.Now());
  this->backend->Start(action.visit, std::move(request));
}

void NodeDriver::Perform(const decision::AbortBackend& action) {
  if (this->backend) {
    this->backend->Abort(action.visit);
  }
}

void NodeDriver::Perform(const decision::ReadPlatform& action) {
  this->platform_reader->Read(action.after_number, action.watch);
}

void NodeDriver::Perform(const decision::PublishState& action) {
  this->published.Publish(action.state);
  this->known_hosts.SetTickets(*action.state);
  this->links->SetStateDigest(action.state->digest);
}

void NodeDriver::Perform(const decision::WakeAt& action) {
  this->wake_timer.expires_at(
      std::chrono::steady_clock::time_point(action.instant));
  this->wake_timer.async_wait([this](const std::error_code& error) {
    if (!error) {
      this->Handle(decision::Tick{});
    }
  });
}

void NodeDriver::Perform(const decision::Report& action) {
  Log(action.event, {{"subject", action.subject}, {"detail", action.detail}});
}

void NodeDriver::Perform(const decision::Drained& /*action*/) {
  this->links->Close();
  this->FinishStop(this->clock.Now() + kFlushTime);
}

void NodeDriver::FinishStop(Instant latest) {
  const bool all_closed = this->links->ConnectionCount() == 0 &&
                          this->callers->ConnectionCount() == 0;
  if (!all_closed && this->clock.Now() < latest) {
    // Not the timer of WakeAt: the decisions go on asking for wake-ups, and
    // each would cancel this wait.
    this->stop_timer.expires_after(kFlushPoll);
    this->stop_timer.async_wait([this, latest](const std::error_code& error) {
      if (!error) {
        this->FinishStop(latest);
      }
    });
    return;
  }
  Log(LogEvent::kStopped);
  if (this->on_stopped) {
    this->on_stopped();
  }
}

}  // namespace agaterun::driver
