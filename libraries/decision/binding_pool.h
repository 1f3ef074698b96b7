#ifndef LIBRARIES_DECISION_BINDING_POOL_H_
#define LIBRARIES_DECISION_BINDING_POOL_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

#include "libraries/base/time.h"
#include "libraries/decision/request_types.h"

namespace agaterun::decision {

// Pool of unused bindings from earlier replies, for nested calls that this node
// sends. It saves them the extra round trip for requesting a binding.
class BindingPool {
 public:
  struct Options {
    std::size_t max_per_gate = 16;
    std::size_t max_gates = 1024;
    // Must be well below the time for which gates keep an unused binding.
    Duration lifetime = 2s;
  };

  explicit BindingPool(Options options) : options(options) {}

  // Adds an unused binding. If the gate has its maximum number, removes the
  // oldest one.
  void Put(Instant now, const Binding& binding);

  // Removes and returns a binding of that gate, or nothing if there is none.
  std::optional<Binding> Take(Instant now, NodeAddress gate);

 private:
  struct PooledBinding {
    Binding binding;
    Instant added_at{};
  };

  Options options;
  std::unordered_map<NodeAddress, std::deque<PooledBinding>> gates;
};

}  // namespace agaterun::decision

#endif  // LIBRARIES_DECISION_BINDING_POOL_H_
