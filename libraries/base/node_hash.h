#ifndef LIBRARIES_BASE_NODE_HASH_H_
#define LIBRARIES_BASE_NODE_HASH_H_

#include <cstdint>

#include "libraries/base/node_address.h"

namespace agaterun {

// Number of a node by which all nodes order a list alike. Places neighbouring
// addresses, which often share a rack, far apart. Another `seed` gives another
// order.
inline std::uint64_t NodeHash(NodeAddress node, std::uint64_t seed = 0) {
  std::uint64_t mixed = ((std::uint64_t{node.ip} << 16) | node.port) ^ seed;
  mixed ^= mixed >> 31;
  mixed *= 0x7fb5d329728ea185;
  mixed ^= mixed >> 27;
  mixed *= 0x81dadef4bc2dd44d;
  return mixed ^ (mixed >> 33);
}

}  // namespace agaterun

#endif  // LIBRARIES_BASE_NODE_HASH_H_
