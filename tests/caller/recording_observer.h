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

// Records the events of a server until the test takes them.
class RecordingObserver : public CallerObserver {
 public:
  void OnRequest(decision::CallId call,
                 HttpRequest request,
                 bool nested) override;
  void OnCallerDisconnected(decision::CallId call) override;

  // Waits for the next request and removes it from the queue. Returns nothing
  // after `wait`.
  std::optional<RecordedCall> Next(Duration wait = 10s);

  // Waits until `count` callers have disconnected. Returns false if that takes
  // longer than 10 s.
  bool WaitForDisconnects(std::size_t count);
  std::vector<decision::CallId> DisconnectedCalls();

  // Called by OnRequest instead of recording the request. Has to be set before
  // the server starts.
  std::function<void(RecordedCall)> handler;

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<RecordedCall> calls;
  std::vector<decision::CallId> disconnected_calls;
};

}  // namespace agaterun::caller

#endif  // TESTS_CALLER_RECORDING_OBSERVER_H_
