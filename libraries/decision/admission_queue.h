#ifndef LIBRARIES_DECISION_ADMISSION_QUEUE_H_
#define LIBRARIES_DECISION_ADMISSION_QUEUE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// Visits that wait for a slot, ordered strictly by importance, then by fair
// queueing between the shares of one class, then by age within a share.
class AdmissionQueue {
 public:
  struct Options {
    // Once the oldest visit of a share has waited this long, the share's newest
    // goes first.
    Duration newest_first_after = 20ms;
    bool newest_first = true;
    bool fair_shares = true;
  };

  struct Entry {
    VisitId visit;
    Importance importance = Importance::kNormal;
    std::string share;
    double weight = 1;  // Weight of the share; must be positive.
    Instant arrived{};
  };

  AdmissionQueue() : AdmissionQueue(Options{}) {}
  explicit AdmissionQueue(Options options) : options(options) {}

  void SetNewestFirstAfter(Duration wait) {
    this->options.newest_first_after = wait;
  }

  void Push(const Entry& entry);

  // Removes and returns the next visit to start, or nothing.
  std::optional<VisitId> Pop(Instant now);

  // The visit to refuse first, provided it is not more important than
  // `importance`: it belongs to the least important class that has waiting
  // visits, is of the share with the longest backlog relative to its weight,
  // and is the oldest of that share.
  std::optional<VisitId> FindDisplaceable(Importance importance) const;

  void Remove(VisitId visit);

  // Number of waiting visits of classes at least as important as `importance`.
  std::size_t CountAtLeastAsImportant(Importance importance) const;
  std::size_t Size() const { return this->positions.size(); }

 private:
  using Serial = std::uint64_t;

  struct WaitingVisit {
    VisitId visit;
    Instant arrived{};
  };

  struct Share {
    double weight = 1;
    double start_tag = 0;  // Virtual start time of its next visit.
    Serial serial = 0;
    std::map<Serial, WaitingVisit> waiting;  // Oldest first.
  };

  struct ImportanceClass {
    double virtual_time = 0;
    std::map<std::string, Share> shares;
    // Shares with waiting visits, ordered by tag; the serial makes the order of
    // ties deterministic.
    std::set<std::tuple<double, Serial, std::string>> active_shares;
    std::size_t size = 0;
  };

  struct Position {
    Importance importance = Importance::kNormal;
    std::string share;
    Serial serial = 0;
  };

  std::map<Serial, WaitingVisit>::const_iterator PickNext(
      Instant now,
      const Share& share) const;

  Options options;
  std::array<ImportanceClass, kImportanceCount> classes;
  std::unordered_map<VisitId, Position> positions;
  Serial next_serial = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_ADMISSION_QUEUE_H_
