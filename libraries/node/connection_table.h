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

// One connection per peer. Safe from any thread; sharded by address to reduce
// lock contention between threads that use different peers. No lock is held
// during I/O.
class ConnectionTable {
 public:
  using Factory = std::function<std::shared_ptr<Connection>()>;

  // Returns the usable connection to `peer`, or nullptr.
  std::shared_ptr<Connection> Find(NodeAddress peer) const;

  // Returns the usable connection to `peer`. If there is none, stores and
  // returns the result of `make`, which may be nullptr.
  std::shared_ptr<Connection> FindOrCreate(NodeAddress peer,
                                           const Factory& create);

  // Stores `connection` and returns the previous connection, or nullptr.
  std::shared_ptr<Connection> Replace(NodeAddress peer,
                                      std::shared_ptr<Connection> connection);

  // Removes `connection` if it is still the stored connection of `peer`.
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
