#ifndef TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_
#define TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "libraries/backend_server/backend_client.h"

namespace agaterun::backend_server {

// The result of a visit: a response or a failure.
struct RecordedResult {
  decision::VisitId visit;
  std::optional<HttpResponse> response;
  std::optional<decision::BackendFailure> failure;
};

// Records the events of a client until the test reads them.
class RecordingObserver : public BackendObserver {
 public:
  void OnBackendResponded(decision::VisitId visit,
                          HttpResponse response) override;
  void OnBackendFailed(decision::VisitId visit,
                       decision::BackendFailure failure) override;
  void OnBackendReachable(bool reachable) override;

  // Waits up to 10 s for `count` results and returns all recorded so far.
  std::vector<RecordedResult> WaitForResults(std::size_t count);

  // Waits up to 10 s for `count` changes of reachability and returns all
  // recorded so far.
  std::vector<bool> WaitForReachabilityChanges(std::size_t count);

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<RecordedResult> results;
  std::vector<bool> changes;
};

}  // namespace agaterun::backend_server

#endif  // TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_
