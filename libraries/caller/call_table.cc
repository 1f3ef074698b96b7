#include "libraries/caller/call_table.h"

#include <utility>

namespace agaterun::caller {

void CallTable::Insert(decision::CallId call,
                       std::shared_ptr<CallerConnection> connection) {
  Shard& shard = this->shards[call % kShards];
  const std::lock_guard lock(shard.mutex);
  shard.calls.emplace(call, std::move(connection));
}

std::shared_ptr<CallerConnection> CallTable::Remove(decision::CallId call) {
  Shard& shard = this->shards[call % kShards];
  const std::lock_guard lock(shard.mutex);
  auto node = shard.calls.extract(call);
  return node.empty() ? nullptr : std::move(node.mapped());
}

}  // namespace agaterun::caller
