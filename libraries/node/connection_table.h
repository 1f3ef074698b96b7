#ifndef LIBRARIES_NODE_CONNECTION_TABLE_H_
#define LIBRARIES_NODE_CONNECTION_TABLE_H_

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "libraries/base/node_address.h"
#include "libraries/node/connection.h"

namespace agaterun::node {

// One connection per peer. Safe from any thread; split by address so that
// threads which speak with different peers seldom meet. No lock is held while
// bytes move.
class ConnectionTable {
 public:
  using Maker = std::function<std::shared_ptr<Connection>()>;

  // The usable connection of `peer`, or nullptr.
  std::shared_ptr<Connection> Find(NodeAddress peer) const;

  // The usable connection of `peer`; else the one that `make` returns, which
  // may be nullptr.
  std::shared_ptr<Connection> FindOrMake(NodeAddress peer, const Maker& make);

  // Puts `connection` in place and returns the one before it, or nullptr.
  std::shared_ptr<Connection> Replace(NodeAddress peer,
                                      std::shared_ptr<Connection> connection);

  // Removes `connection` if it is still the one of `peer`.
  void Remove(NodeAddress peer, const Connection& connection);

  void Clear();

 private:
  static constexpr std::size_t kShards = 16;
  struct Shard {
    mutable std::mutex mutex;
    std::unordered_map<NodeAddress, std::shared_ptr<Connection>> connections;
  };

  Shard& ShardOf(NodeAddress peer);
  const Shard& ShardOf(NodeAddress peer) const;

  std::array<Shard, kShards> shards;
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_CONNECTION_TABLE_H_
