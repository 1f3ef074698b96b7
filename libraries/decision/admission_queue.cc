#include "libraries/decision/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace agaterun::decision {

void AdmissionQueue::Push(const Entry& entry) {
  auto& importance_class =
      this->classes[static_cast<std::size_t>(entry.importance)];
  const std::string name = this->options.fair_shares ? entry.share : "";
  const Serial serial = this->next_serial++;
  auto [found, added] = importance_class.shares.try_emplace(name);
  auto& share = found->second;
  if (added) {
    share.weight = entry.weight;
    // Start-time fair queueing: a share that becomes active again gets no
    // credit for the time in which it had no waiting visits.
    share.start_tag = importance_class.virtual_time;
    share.serial = serial;
    importance_class.active_shares.emplace(share.start_tag, share.serial, name);
  }
  share.waiting.emplace(
      serial, WaitingVisit{.visit = entry.visit, .arrived = entry.arrived});
  ++importance_class.size;
  this->positions.emplace(entry.visit, Position{.importance = entry.importance,
                                                .share = name,
                                                .serial = serial});
}

std::map<AdmissionQueue::Serial, AdmissionQueue::WaitingVisit>::const_iterator
AdmissionQueue::PickNext(Instant now, const Share& share) const {
  const auto oldest = share.waiting.begin();
  const Duration wait = now - oldest->second.arrived;
  // Oldest first is fair as long as the queue drains in time. When it does not,
  // the oldest visits are the least likely to meet their deadlines, and serving
  // them first would delay every response.
  if (!this->options.newest_first || wait < this->options.newest_first_after) {
    return oldest;
  }
  return std::prev(share.waiting.end());
}

std::optional<VisitId> AdmissionQueue::Pop(Instant now) {
  for (auto& importance_class : this->classes) {
    if (importance_class.size == 0) {
      continue;
    }
    const auto first = importance_class.active_shares.begin();
    const std::string name = std::get<std::string>(*first);
    auto& share = importance_class.shares.at(name);
    const VisitId visit = this->PickNext(now, share)->second.visit;
    importance_class.virtual_time = share.start_tag;
    importance_class.active_shares.erase(first);
    share.start_tag += 1 / share.weight;
    importance_class.active_shares.emplace(share.start_tag, share.serial, name);
    this->Remove(visit);
    return visit;
  }
  return std::nullopt;
}

std::optional<VisitId> AdmissionQueue::FindDisplaceable(
    Importance importance) const {
  const auto first_index = static_cast<std::size_t>(importance);
  for (std::size_t index = this->classes.size(); index-- > first_index;) {
    const auto& importance_class = this->classes[index];
    if (importance_class.size == 0) {
      continue;
    }
    const auto most_backlogged = std::max_element(
        importance_class.shares.begin(), importance_class.shares.end(),
        [](const auto& left, const auto& right) {
          return static_cast<double>(left.second.waiting.size()) *
                     right.second.weight <
                 static_cast<double>(right.second.waiting.size()) *
                     left.second.weight;
        });
    return most_backlogged->second.waiting.begin()->second.visit;
  }
  return std::nullopt;
}

void AdmissionQueue::Remove(VisitId visit) {
  const auto found = this->positions.find(visit);
  if (found == this->positions.end()) {
    return;
  }
  const auto& position = found->second;
  auto& importance_class =
      this->classes[static_cast<std::size_t>(position.importance)];
  const auto share = importance_class.shares.find(position.share);
  share->second.waiting.erase(position.serial);
  --importance_class.size;
  if (share->second.waiting.empty()) {
    importance_class.active_shares.erase(
        {share->second.start_tag, share->second.serial, position.share});
    importance_class.shares.erase(share);
  }
  this->positions.erase(found);
}

std::size_t AdmissionQueue::CountAtLeastAsImportant(
    Importance importance) const {
  std::size_t size = 0;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(importance);
       ++index) {
    size += this->classes[index].size;
  }
  return size;
}

}  // namespace agaterun::decision
