#include "libraries/decision/call_table.h"

#include "libraries/base/verify.h"

namespace agaterun::decision {

Call& CallTable::Add(Call call) {
  const auto id = call.id;
  const auto [entry, added] = this->calls.emplace(id, std::move(call));
  VERIFY(added);
  auto& stored = entry->second;
  this->deadlines.emplace(stored.deadline, id);
  if (stored.parent) {
    this->nested[*stored.parent].push_back(id);
  }
  return stored;
}

Call* CallTable::Find(CallId id) {
  const auto found = this->calls.find(id);
  return found == this->calls.end() ? nullptr : &found->second;
}

void CallTable::Erase(CallId id) {
  const auto found = this->calls.find(id);
  VERIFY(found != this->calls.end());
  const auto& call = found->second;
  this->deadlines.erase({call.deadline, id});
  if (call.parent) {
    const auto siblings = this->nested.find(*call.parent);
    std::erase(siblings->second, id);
    if (siblings->second.empty()) {
      this->nested.erase(siblings);
    }
  }
  this->calls.erase(found);
}

Call* CallTable::FirstExpired(Instant now) {
  if (this->deadlines.empty() || this->deadlines.begin()->first > now) {
    return nullptr;
  }
  return this->Find(this->deadlines.begin()->second);
}

std::optional<Instant> CallTable::NextDeadline() const {
  if (this->deadlines.empty()) {
    return std::nullopt;
  }
  return this->deadlines.begin()->first;
}

std::vector<CallId> CallTable::NestedCallsOf(VisitId visit) const {
  const auto found = this->nested.find(visit);
  return found == this->nested.end() ? std::vector<CallId>{} : found->second;
}

}  // namespace agaterun::decision
