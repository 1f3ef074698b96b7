#include "libraries/decision/binding_pool.h"

namespace agaterun::decision {

void BindingPool::Put(Instant now, const Binding& binding) {
  if (!this->gates.contains(binding.gate) &&
      this->gates.size() >= this->options.max_gates) {
    return;
  }
  auto& bindings = this->gates[binding.gate];
  // A restarted gate doesn't recognize bindings of its earlier incarnation.
  if (!bindings.empty() &&
      bindings.back().binding.incarnation != binding.incarnation) {
    bindings.clear();
  }
  if (bindings.size() >= this->options.max_per_gate) {
    bindings.pop_front();
  }
  bindings.push_back({.binding = binding, .added_at = now});
}

std::optional<Binding> BindingPool::Take(Instant now, NodeAddress gate) {
  const auto found = this->gates.find(gate);
  if (found == this->gates.end()) {
    return std::nullopt;
  }
  auto& bindings = found->second;
  // Takes the newest binding. When calls become rare, the older ones expire
  // unused.
  std::optional<Binding> taken;
  if (!bindings.empty() &&
      now - bindings.back().added_at < this->options.lifetime) {
    taken = bindings.back().binding;
    bindings.pop_back();
  } else {
    bindings.clear();
  }
  if (bindings.empty()) {
    this->gates.erase(found);
  }
  return taken;
}

}  // namespace agaterun::decision
