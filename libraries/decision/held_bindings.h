#ifndef LIBRARIES_DECISION_HELD_BINDINGS_H_
#define LIBRARIES_DECISION_HELD_BINDINGS_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// Unused bindings that answers brought, kept for this node's own nested calls
// so that they need no extra round trip.
class HeldBindings {
 public:
  struct Options {
    std::size_t most_per_gate = 16;
    std::size_t most_gates = 1024;
    // Well below the time for which gates keep an unused binding.
    Duration lifetime = 2s;
  };

  explicit HeldBindings(Options options) : options(options) {}

  // Keeps an unused binding; the oldest of the gate makes room.
  void Put(Instant now, const Binding& binding);

  // Takes a binding of that gate, or nothing. Each is given out once.
  std::optional<Binding> Take(Instant now, NodeAddress gate);

 private:
  struct Held {
    Binding binding;
    Instant since{};
  };

  Options options;
  std::unordered_map<NodeAddress, std::deque<Held>> gates;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_HELD_BINDINGS_H_
