#include "libraries/decision/origin.h"

// The part of the origin that joins nested calls which one visit sends again
// under the same Idempotency-Key.
namespace agaterun::decision {

bool Origin::JoinByKey(Instant now, Call& call, Actions& actions) {
  if (call.idempotency_key.empty()) {
    return false;
  }
  const auto respond = [&](RespondToCaller response) {
    response.call = call.id;
    actions.push_back(std::move(response));
    return true;
  };
  auto* entry =
      this->keys.Find(*call.parent, call.request.service, call.idempotency_key);
  if (entry == nullptr) {
    entry = this->keys.Add(*call.parent, call.request.service,
                           call.idempotency_key);
    if (entry == nullptr) {
      return respond(
          {.outcome = Outcome::kNotRun, .reason = Reason::kLimitReached});
    }
    entry->fingerprint = call.request.fingerprint;
    return false;
  }
  if (entry->fingerprint != call.request.fingerprint) {
    return respond({.outcome = Outcome::kNotRun, .reason = Reason::kMalformed});
  }
  if (entry->completed) {
    return respond(*entry->completed);
  }
  if (entry->running) {
    call.phase = CallPhase::kJoined;
    call.leader = *entry->running;
    this->calls.Find(call.leader)->joined.push_back(call.id);
    this->parents.NestedCallStarted(now, *call.parent);
    this->calls.Add(std::move(call));
    return true;
  }
  // The first call may have run, so the retry uses the same binding.
  if (!entry->binding) {
    return respond(
        {.outcome = Outcome::kUnknown, .reason = Reason::kBindingLost});
  }
  call.binding = entry->binding;
  call.outcome = CallOutcome({.may_have_run = true});
  return false;
}

void Origin::RecordKeyResult(const Call& call,
                             const RespondToCaller& response) {
  if (call.idempotency_key.empty()) {
    return;
  }
  const auto visit = *call.parent;
  auto* entry =
      this->keys.Find(visit, call.request.service, call.idempotency_key);
  if (entry == nullptr) {
    return;
  }
  entry->running.reset();
  switch (response.outcome) {
    case Outcome::kCompleted:
      entry->completed = response;
      return;
    case Outcome::kUnknown:
      entry->binding = call.binding;
      return;
    case Outcome::kNotRun:
      // A retry under the same key starts as a new call.
      this->keys.Erase(visit, call.request.service, call.idempotency_key);
      return;
  }
}

void Origin::EndJoined(Instant now,
                       Call& call,
                       RespondToCaller response,
                       Actions& actions) {
  for (const auto id : call.joined) {
    this->parents.NestedCallEnded(now, *call.parent, 0, call.thresholds);
    response.call = id;
    actions.push_back(response);
    this->calls.Erase(id);
  }
  call.joined.clear();
}

}  // namespace agaterun::decision
