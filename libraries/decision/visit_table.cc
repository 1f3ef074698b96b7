#include "libraries/decision/visit_table.h"

#include <algorithm>

#include "libraries/base/verify.h"

namespace agaterun::decision {

VisitId VisitTable::Add(Visit visit) {
  const VisitId id{.high = this->random.Next(), .low = this->random.Next()};
  for (const auto& waiter : visit.waiters) {
    this->attempts.emplace(waiter.attempt, id);
  }
  this->due.emplace(visit.due, id);
  this->visits.emplace(id, std::move(visit));
  return id;
}

Visit* VisitTable::Find(VisitId id) {
  const auto found = this->visits.find(id);
  return found == this->visits.end() ? nullptr : &found->second;
}

const Visit* VisitTable::Find(VisitId id) const {
  const auto found = this->visits.find(id);
  return found == this->visits.end() ? nullptr : &found->second;
}

std::optional<VisitId> VisitTable::FindAttempt(const AttemptId& attempt) const {
  const auto found = this->attempts.find(attempt);
  if (found == this->attempts.end()) {
    return std::nullopt;
  }
  return found->second;
}

void VisitTable::AddWaiter(VisitId id, const VisitWaiter& waiter) {
  this->visits.at(id).waiters.push_back(waiter);
  this->attempts.emplace(waiter.attempt, id);
}

void VisitTable::RemoveWaiter(VisitId id, const AttemptId& attempt) {
  std::erase_if(this->visits.at(id).waiters, [&](const VisitWaiter& waiter) {
    return waiter.attempt == attempt;
  });
  this->attempts.erase(attempt);
}

void VisitTable::SetDue(VisitId id, Instant due) {
  auto& visit = this->visits.at(id);
  this->due.erase({visit.due, id});
  visit.due = due;
  this->due.emplace(due, id);
}

Visit VisitTable::Remove(VisitId id) {
  const auto found = this->visits.find(id);
  VERIFY(found != this->visits.end());
  Visit visit = std::move(found->second);
  this->visits.erase(found);
  this->due.erase({visit.due, id});
  for (const auto& waiter : visit.waiters) {
    this->attempts.erase(waiter.attempt);
  }
  return visit;
}

std::vector<VisitId> VisitTable::DueAt(Instant now) const {
  std::vector<VisitId> ids;
  for (const auto& [instant, id] : this->due) {
    if (instant > now) {
      break;
    }
    ids.push_back(id);
  }
  return ids;
}

std::optional<Instant> VisitTable::EarliestDue() const {
  if (this->due.empty()) {
    return std::nullopt;
  }
  return this->due.begin()->first;
}

std::vector<VisitId> VisitTable::InPhase(VisitPhase phase) const {
  std::vector<VisitId> ids;
  for (const auto& [instant, id] : this->due) {
    if (this->visits.at(id).phase == phase) {
      ids.push_back(id);
    }
  }
  return ids;
}

}  // namespace agaterun::decision
