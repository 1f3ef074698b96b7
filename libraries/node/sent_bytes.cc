#include "libraries/node/sent_bytes.h"

namespace agaterun::node {

void SentBytes::Add(NodeAddress to, FrameKind kind, std::size_t bytes) {
  const std::scoped_lock lock(this->mutex);
  auto& counts = this->by_receiver[to];
  for (std::size_t index = 0; index < kFrameKindNames.size(); ++index) {
    if (kFrameKindNames[index].value == kind) {
      counts[index] += bytes;
    }
  }
}

SentBytes::ByKind SentBytes::Sum(
    const std::function<bool(NodeAddress)>& selected) const {
  const std::scoped_lock lock(this->mutex);
  ByKind sum{};
  for (const auto& [receiver, counts] : this->by_receiver) {
    if (!selected(receiver)) {
      continue;
    }
    for (std::size_t index = 0; index < counts.size(); ++index) {
      sum[index] += counts[index];
    }
  }
  return sum;
}

}  // namespace agaterun::node
