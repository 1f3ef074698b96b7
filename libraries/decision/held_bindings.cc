#include "libraries/decision/held_bindings.h"

namespace agaterun::decision {

void HeldBindings::Put(Instant now, const Binding& binding) {
  if (!this->gates.contains(binding.gate) &&
      this->gates.size() >= this->options.most_gates) {
    return;
  }
  auto& held = this->gates[binding.gate];
  // A restarted gate doesn't recognize bindings of its earlier incarnation.
  if (!held.empty() && held.back().binding.incarnation != binding.incarnation) {
    held.clear();
  }
  if (held.size() >= this->options.most_per_gate) {
    held.pop_front();
  }
  held.push_back({.binding = binding, .since = now});
}

std::optional<Binding> HeldBindings::Take(Instant now, NodeAddress gate) {
  const auto found = this->gates.find(gate);
  if (found == this->gates.end()) {
    return std::nullopt;
  }
  auto& held = found->second;
  // Takes the newest binding. When calls become rare, the older ones expire
  // unused.
  std::optional<Binding> taken;
  if (!held.empty() && now - held.back().since < this->options.lifetime) {
    taken = held.back().binding;
    held.pop_back();
  } else {
    held.clear();
  }
  if (held.empty()) {
    this->gates.erase(found);
  }
  return taken;
}

}  // namespace agaterun::decision
