#ifndef TESTS_CALLER_RECORDING_OBSERVER_H_
#define TESTS_CALLER_RECORDING_OBSERVER_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "libraries/caller/caller_server.h"

namespace agaterun::caller {

struct RecordedCall {
  decision::CallId call = 0;
  HttpRequest request;
  bool nested = false;
};

// Keeps what a server tells until the test asks for it.
class RecordingObserver : public CallerObserver {
 public:
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 bool nested) override;
  void OnCallerDisconnected(decision::CallId call) override;

  // The next request, waiting for it; nothing when none comes.
  std::optional<RecordedCall> Next(Duration wait = 10s);

  // Waits until `count` callers went away; false when they don't.
  bool WaitForGone(std::size_t count);
  std::vector<decision::CallId> Gone();

  // Called in OnRequest in place of keeping the request, when set before the
  // server starts.
  std::function<void(RecordedCall)> handler;

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<RecordedCall> calls;
  std::vector<decision::CallId> gone;
};

}  // namespace agaterun::caller

#endif  // TESTS_CALLER_RECORDING_OBSERVER_H_
