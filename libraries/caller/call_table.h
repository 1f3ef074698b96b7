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

// Which connection waits for the answer of a call. Safe from any thread; the
// locks are spread so that threads rarely meet.
class CallTable {
 public:
  void Insert(decision::CallId call,
              std::shared_ptr<CallerConnection> connection);

  // Removes the call and returns its connection, or nullptr. Only one of
  // those who ask for a call gets it: the answer, or the caller's end.
  std::shared_ptr<CallerConnection> Take(decision::CallId call);

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
