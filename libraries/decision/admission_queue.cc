#include "libraries/decision/admission_queue.h"

#include <algorithm>
#include <iterator>

namespace agaterun::decision {

void AdmissionQueue::Push(const Entry& entry) {
  auto& level = this->classes[static_cast<std::size_t>(entry.importance)];
  const std::string name = this->options.fair_shares ? entry.share : "";
  const Serial serial = this->next_serial++;
  auto [found, added] = level.shares.try_emplace(name);
  auto& share = found->second;
  if (added) {
    share.weight = entry.weight;
    // Start-time fair queueing: a share that comes back gets no credit for
    // the time in which it asked for nothing.
    share.tag = level.virtual_time;
    share.serial = serial;
    level.order.emplace(share.tag, share.serial, name);
  }
  share.waiting.emplace(
      serial, Waiting{.visit = entry.visit, .arrived = entry.arrived});
  ++level.size;
  this->positions.emplace(entry.visit, Position{.importance = entry.importance,
                                                .share = name,
                                                .serial = serial});
}

std::map<AdmissionQueue::Serial, AdmissionQueue::Waiting>::const_iterator
AdmissionQueue::Next(Instant now, const Share& share) const {
  const auto oldest = share.waiting.begin();
  const Duration wait = now - oldest->second.arrived;
  // Oldest first is fair while the queue drains. Once it doesn't, the oldest
  // are the least likely to be done in time, and serving them would make
  // every answer late.
  if (!this->options.newest_first || wait < this->options.newest_first_after) {
    return oldest;
  }
  return std::prev(share.waiting.end());
}

std::optional<VisitId> AdmissionQueue::Pop(Instant now) {
  for (auto& level : this->classes) {
    if (level.size == 0) {
      continue;
    }
    const auto first = level.order.begin();
    const std::string name = std::get<std::string>(*first);
    auto& share = level.shares.at(name);
    const VisitId visit = this->Next(now, share)->second.visit;
    level.virtual_time = share.tag;
    level.order.erase(first);
    share.tag += 1 / share.weight;
    level.order.emplace(share.tag, share.serial, name);
    this->Remove(visit);
    return visit;
  }
  return std::nullopt;
}

std::optional<VisitId> AdmissionQueue::Worst(Importance importance) const {
  const auto least = static_cast<std::size_t>(importance);
  for (std::size_t index = this->classes.size(); index-- > least;) {
    const auto& level = this->classes[index];
    if (level.size == 0) {
      continue;
    }
    const auto greediest = std::max_element(
        level.shares.begin(), level.shares.end(),
        [](const auto& left, const auto& right) {
          return static_cast<double>(left.second.waiting.size()) *
                     right.second.weight <
                 static_cast<double>(right.second.waiting.size()) *
                     left.second.weight;
        });
    return greediest->second.waiting.begin()->second.visit;
  }
  return std::nullopt;
}

void AdmissionQueue::Remove(VisitId visit) {
  const auto found = this->positions.find(visit);
  if (found == this->positions.end()) {
    return;
  }
  const auto& position = found->second;
  auto& level = this->classes[static_cast<std::size_t>(position.importance)];
  const auto share = level.shares.find(position.share);
  share->second.waiting.erase(position.serial);
  --level.size;
  if (share->second.waiting.empty()) {
    level.order.erase(
        {share->second.tag, share->second.serial, position.share});
    level.shares.erase(share);
  }
  this->positions.erase(found);
}

std::size_t AdmissionQueue::SizeUpTo(Importance importance) const {
  std::size_t size = 0;
  for (std::size_t index = 0; index <= static_cast<std::size_t>(importance);
       ++index) {
    size += this->classes[index].size;
  }
  return size;
}

}  // namespace agaterun::decision
