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

// Records of the nested calls that visits sent under an Idempotency-Key, so
// that a retry with the same key joins the first call instead of running again.
class NestedKeys {
 public:
  struct Options {
    std::size_t max_entries_per_visit = 256;
    std::size_t max_entries = 16384;
  };

  struct Entry {
    std::uint64_t fingerprint = 0;
    // The call while it is running, or nothing after it ended.
    std::optional<CallId> running;
    // The response of the call, if it completed.
    std::optional<RespondToCaller> completed;
    // The binding that the call was sent under, if it may have run.
    std::optional<Binding> binding;
  };

  explicit NestedKeys(Options options) : options(options) {}

  // Returns the entry, or nullptr.
  Entry* Find(VisitId visit,
              const std::string& service,
              const std::string& key);

  // Adds an entry. Returns nullptr if the table is full or the visit has
  // reached its limit of entries.
  Entry* Add(VisitId visit, const std::string& service, const std::string& key);

  // Removes the key of a call that was not run.
  void Erase(VisitId visit, const std::string& service, const std::string& key);

  // Removes all keys of a visit that ended.
  void EraseVisit(VisitId visit);

  std::size_t Size() const { return this->size; }

 private:
  // Keyed by service and Idempotency-Key.
  using Keys = std::map<std::pair<std::string, std::string>, Entry>;

  Options options;
  std::unordered_map<VisitId, Keys> visits;
  std::size_t size = 0;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_NESTED_KEYS_H_
