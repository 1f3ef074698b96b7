#include "libraries/decision/gate.h"

namespace agaterun::decision {

Gate::Gate(Options options, RandomSource& random)
    : options(std::move(options)),
      random(random),
      state(std::make_shared<TicketState>()) {}

void Gate::SetState(Instant /*now*/, std::shared_ptr<const TicketState> state) {
  this->state = std::move(state);
}

void Gate::OnVisitArrived(Instant now,
                          const VisitArrived& event,
                          Actions& actions) {
  const auto service = this->state->FindService(this->options.service);
  const auto refuse = [&](Reason reason) {
    actions.push_back(ReplyToOrigin{
        .to = event.from,
        .reply = VisitReply{.attempt = event.request.attempt,
                            .outcome = Outcome::kNotRun,
                            .reason = reason,
                            .unspent_allowance = event.request.allowance,
                            .load = this->Load()}});
  };
  if (!service || event.request.service != this->options.service) {
    refuse(Reason::kNoSuchService);
    return;
  }
  if (this->leaving) {
    refuse(Reason::kLeaving);
    return;
  }
  if (this->visits.size() >= static_cast<std::size_t>(service->slots)) {
    refuse(Reason::kOverloaded);
    return;
  }
  const VisitId visit{.high = this->random.Next(), .low = this->random.Next()};
  this->visits.emplace(visit, Visit{.from = event.from,
                                    .request = event.request,
                                    .deadline = now + event.request.remaining});
  actions.push_back(StartBackend{.visit = visit,
                                 .attempt = event.request.attempt,
                                 .remaining = event.request.remaining});
}

void Gate::End(Instant now,
               VisitId visit,
               VisitReply reply,
               Answer answer,
               Actions& actions) {
  const auto found = this->visits.find(visit);
  if (found == this->visits.end()) {
    return;
  }
  reply.attempt = found->second.request.attempt;
  reply.load = this->Load();
  actions.push_back(ReplyToOrigin{.to = found->second.from,
                                  .reply = std::move(reply),
                                  .answer = std::move(answer)});
  this->visits.erase(found);
  if (this->observer != nullptr) {
    this->observer->OnVisitEnded(now, visit, actions);
  }
}

void Gate::OnVisitCancelled(Instant now,
                            const VisitCancelled& event,
                            Actions& actions) {
  for (const auto& [id, visit] : this->visits) {
    if (visit.request.attempt == event.attempt) {
      actions.push_back(AbortBackend{.visit = id});
      this->End(now, id, VisitReply{.reason = Reason::kCancelled}, nullptr,
                actions);
      return;
    }
  }
}

void Gate::OnBackendAnswered(Instant now,
                             const BackendAnswered& event,
                             Actions& actions) {
  this->End(now, event.visit, VisitReply{.outcome = Outcome::kCompleted},
            event.answer, actions);
}

void Gate::OnBackendFailed(Instant now,
                           const BackendFailed& event,
                           Actions& actions) {
  const bool sent = event.failure != BackendFailure::kNotSent;
  this->End(now, event.visit,
            VisitReply{
                .outcome = sent ? Outcome::kUnknown : Outcome::kNotRun,
                .reason = sent ? Reason::kBackendFailed : Reason::kBackendDown},
            nullptr, actions);
}

void Gate::OnBackendReachable(Instant /*now*/,
                              const BackendReachable& event,
                              Actions& /*actions*/) {
  this->backend_up = event.reachable;
}

void Gate::OnConvicted(
    Instant /*now*/,
    const std::vector<std::pair<std::uint64_t, Duration>>& /*convicted*/) {}

void Gate::StartLeaving(Instant /*now*/, Actions& /*actions*/) {
  this->leaving = true;
}

void Gate::OnTick(Instant now, Actions& actions) {
  std::vector<VisitId> expired;
  for (const auto& [id, visit] : this->visits) {
    if (visit.deadline <= now) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    actions.push_back(AbortBackend{.visit = id});
    this->End(now, id, VisitReply{.reason = Reason::kDeadlineExceeded}, nullptr,
              actions);
  }
}

std::optional<Instant> Gate::NextWake() const {
  std::optional<Instant> next;
  for (const auto& [id, visit] : this->visits) {
    next = next ? std::min(*next, visit.deadline) : visit.deadline;
  }
  return next;
}

LoadReport Gate::Load() const {
  return LoadReport{.running = static_cast<std::uint32_t>(this->visits.size()),
                    .leaving = this->leaving,
                    .backend_up = this->backend_up};
}

std::vector<std::pair<std::uint64_t, Duration>> Gate::Convicted(
    Instant /*now*/) const {
  return {};
}

std::optional<ParentVisit> Gate::FindParent(VisitId visit) const {
  const auto found = this->visits.find(visit);
  if (found == this->visits.end()) {
    return std::nullopt;
  }
  const auto& [from, request, deadline] = found->second;
  return ParentVisit{.importance = request.importance,
                     .deadline = deadline,
                     .admission_key = request.admission_key,
                     .request_id = request.request_id,
                     .share = request.share};
}

int Gate::LendAllowance(VisitId /*visit*/, int /*wanted*/) {
  return 0;
}

void Gate::NestedCallStarted(Instant /*now*/, VisitId /*visit*/) {}

void Gate::NestedCallEnded(
    Instant /*now*/,
    VisitId /*visit*/,
    int /*unspent*/,
    const std::vector<std::pair<std::string, AdmissionThreshold>>&
    /*thresholds*/) {}

}  // namespace agaterun::decision
