#ifndef LIBRARIES_DECISION_NESTED_KEYS_H_
#define LIBRARIES_DECISION_NESTED_KEYS_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "libraries/decision/events.h"

namespace agaterun::decision {

// What is known of the nested calls that one visit sent under an
// Idempotency-Key, so that a repeat of one joins the first.
class NestedKeys {
 public:
  struct Options {
    std::size_t max_entries_per_visit = 256;
    std::size_t max_entries = 16384;
  };

  struct Entry {
    std::uint64_t fingerprint = 0;
    // The call that runs, or nothing when it ended.
    std::optional<CallId> running;
    // Its answer, when it completed.
    std::optional<RespondToCaller> completed;
    // What it ran under, when it may have run.
    std::optional<Binding> binding;
  };

  explicit NestedKeys(Options options) : options(options) {}

  // The entry, or nullptr.
  Entry* Find(VisitId visit,
              const std::string& service,
              const std::string& key);

  // Adds an entry. nullptr when the table or the visit's part of it is full.
  Entry* Add(VisitId visit, const std::string& service, const std::string& key);

  // Forgets one key, whose call was not run.
  void Erase(VisitId visit, const std::string& service, const std::string& key);

  // Forgets all keys of a visit that ended.
  void EraseVisit(VisitId visit);

  std::size_t Size() const { return this->size; }

 private:
  // By service and key.
  using Keys = std::map<std::pair<std::string, std::string>, Entry>;

  Options options;
  std::unordered_map<VisitId, Keys> visits;
  std::size_t size = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_NESTED_KEYS_H_
