#ifndef LIBRARIES_NODE_SENT_BYTES_H_
#define LIBRARIES_NODE_SENT_BYTES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <unordered_map>

#include "libraries/base/node_address.h"
#include "libraries/node/frame.h"

namespace agaterun::node {

// Counts the bytes of frames sent since the start by receiver and kind, without
// the headers of lower layers. Safe from any thread.
class SentBytes {
 public:
  // Indexed by the position of the kind in kFrameKindNames.
  using ByKind = std::array<std::uint64_t, kFrameKindNames.size()>;

  void Add(NodeAddress to, FrameKind kind, std::size_t bytes);

  // Returns the sum over the receivers for which `selected` returns true.
  ByKind Sum(const std::function<bool(NodeAddress)>& selected) const;

 private:
  mutable std::mutex mutex;
  std::unordered_map<NodeAddress, ByKind> by_receiver;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_SENT_BYTES_H_
