#include "libraries/node/connection_table.h"

#include <utility>

namespace agaterun::node {

ConnectionTable::Shard& ConnectionTable::ShardOf(NodeAddress peer) {
  return this->shards[std::hash<NodeAddress>()(peer) % kShards];
}

const ConnectionTable::Shard& ConnectionTable::ShardOf(NodeAddress peer) const {
  return this->shards[std::hash<NodeAddress>()(peer) % kShards];
}

std::shared_ptr<Connection> ConnectionTable::Find(NodeAddress peer) const {
  const auto& shard = this->ShardOf(peer);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.connections.find(peer);
  if (found == shard.connections.end() || !found->second->IsUsable()) {
    return nullptr;
  }
  return found->second;
}

std::shared_ptr<Connection> ConnectionTable::FindOrCreate(
    NodeAddress peer,
    const Factory& create) {
  auto& shard = this->ShardOf(peer);
  const std::lock_guard lock(shard.mutex);
  if (const auto found = shard.connections.find(peer);
      found != shard.connections.end() && found->second->IsUsable()) {
    return found->second;
  }
  auto created = create();
  if (created != nullptr) {
    shard.connections[peer] = created;
  }
  return created;
}

std::shared_ptr<Connection> ConnectionTable::Replace(
    NodeAddress peer,
    std::shared_ptr<Connection> connection) {
  auto& shard = this->ShardOf(peer);
  const std::lock_guard lock(shard.mutex);
  return std::exchange(shard.connections[peer], std::move(connection));
}

void ConnectionTable::Remove(NodeAddress peer, const Connection& connection) {
  auto& shard = this->ShardOf(peer);
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.connections.find(peer);
  if (found != shard.connections.end() && found->second.get() == &connection) {
    shard.connections.erase(found);
  }
}

void ConnectionTable::Clear() {
  for (auto& shard : this->shards) {
    const std::lock_guard lock(shard.mutex);
    shard.connections.clear();
  }
}

}  // namespace agaterun::node
