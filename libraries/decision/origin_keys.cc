#include "libraries/decision/origin.h"

// How the origin joins nested calls that one visit repeats under one key.
namespace agaterun::decision {

bool Origin::JoinByKey(Instant now, Call& call, Actions& actions) {
  if (call.idempotency_key.empty()) {
    return false;
  }
  const auto answer = [&](RespondToCaller answer) {
    answer.call = call.id;
    actions.push_back(std::move(answer));
    return true;
  };
  auto* entry =
      this->keys.Find(*call.parent, call.request.service, call.idempotency_key);
  if (entry == nullptr) {
    entry = this->keys.Add(*call.parent, call.request.service,
                           call.idempotency_key);
    if (entry == nullptr) {
      return answer(
          {.outcome = Outcome::kNotRun, .reason = Reason::kLimitReached});
    }
    entry->fingerprint = call.request.fingerprint;
    return false;
  }
  if (entry->fingerprint != call.request.fingerprint) {
    return answer({.outcome = Outcome::kNotRun, .reason = Reason::kMalformed});
  }
  if (entry->completed) {
    return answer(*entry->completed);
  }
  if (entry->running) {
    call.phase = CallPhase::kJoined;
    call.leader = *entry->running;
    this->calls.Find(call.leader)->joined.push_back(call.id);
    this->parents.NestedCallStarted(now, *call.parent);
    this->calls.Add(std::move(call));
    return true;
  }
  // The first may have run: a repeat asks under the same binding.
  if (!entry->binding) {
    return answer(
        {.outcome = Outcome::kUnknown, .reason = Reason::kBindingLost});
  }
  call.binding = entry->binding;
  call.outcome = CallOutcome({.may_have_run = true});
  return false;
}

void Origin::RecordKey(const Call& call, const RespondToCaller& answer) {
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
  switch (answer.outcome) {
    case Outcome::kCompleted:
      entry->completed = answer;
      return;
    case Outcome::kUnknown:
      entry->binding = call.binding;
      return;
    case Outcome::kNotRun:
      // A repeat starts afresh.
      this->keys.Erase(visit, call.request.service, call.idempotency_key);
      return;
  }
}

void Origin::EndJoined(Instant now,
                       Call& call,
                       RespondToCaller answer,
                       Actions& actions) {
  for (const auto id : call.joined) {
    this->parents.NestedCallEnded(now, *call.parent, 0, call.thresholds);
    answer.call = id;
    actions.push_back(answer);
    this->calls.Erase(id);
  }
  call.joined.clear();
}

}  // namespace agaterun::decision
