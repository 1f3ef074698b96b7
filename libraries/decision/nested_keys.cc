#include "libraries/decision/nested_keys.h"

namespace agaterun::decision {

NestedKeys::Entry* NestedKeys::Find(VisitId visit,
                                    const std::string& service,
                                    const std::string& key) {
  const auto keys = this->visits.find(visit);
  if (keys == this->visits.end()) {
    return nullptr;
  }
  const auto entry = keys->second.find({service, key});
  return entry == keys->second.end() ? nullptr : &entry->second;
}

NestedKeys::Entry* NestedKeys::Add(VisitId visit,
                                   const std::string& service,
                                   const std::string& key) {
  if (this->size >= this->options.max_entries) {
    return nullptr;
  }
  auto& keys = this->visits[visit];
  if (keys.size() >= this->options.max_entries_per_visit) {
    return nullptr;
  }
  ++this->size;
  return &keys[{service, key}];
}

void NestedKeys::Erase(VisitId visit,
                       const std::string& service,
                       const std::string& key) {
  const auto keys = this->visits.find(visit);
  if (keys == this->visits.end()) {
    return;
  }
  this->size -= keys->second.erase({service, key});
  if (keys->second.empty()) {
    this->visits.erase(keys);
  }
}

void NestedKeys::EraseVisit(VisitId visit) {
  const auto keys = this->visits.find(visit);
  if (keys == this->visits.end()) {
    return;
  }
  this->size -= keys->second.size();
  this->visits.erase(keys);
}

}  // namespace agaterun::decision
