#ifndef LIBRARIES_CALLER_CALL_TABLE_H_
#define LIBRARIES_CALLER_CALL_TABLE_H_

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "libraries/decision/request_types.h"

namespace agaterun::caller {

class CallerConnection;

// Maps each call to the connection that waits for its response. Safe from any
// thread; sharded locks keep contention between threads low.
class CallTable {
 public:
  void Insert(decision::CallId call,
              std::shared_ptr<CallerConnection> connection);

  // Removes the call and returns its connection, or nullptr if the call was
  // already removed. The response and the caller's disconnect may race for a
  // call; only the first of them gets the connection.
  std::shared_ptr<CallerConnection> Remove(decision::CallId call);

 private:
  static constexpr std::size_t kShards = 16;

  struct Shard {
    std::mutex mutex;
    std::unordered_map<decision::CallId, std::shared_ptr<CallerConnection>>
        calls;
  };

  std::array<Shard, kShards> shards;
};

}  // namespace agaterun::caller

#endif  // LIBRARIES_CALLER_CALL_TABLE_H_
