#ifndef TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_
#define TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

#include "libraries/backend_server/backend_client.h"

namespace agaterun::backend_server {

// One of the two ends of a visit.
struct RecordedEnd {
  decision::VisitId visit;
  std::optional<HttpResponse> response;
  std::optional<decision::BackendFailure> failure;
};

// Keeps what a client tells until the test asks for it.
class RecordingObserver : public BackendObserver {
 public:
  void OnBackendResponded(decision::VisitId visit,
                          HttpResponse response) override;
  void OnBackendFailed(decision::VisitId visit,
                       decision::BackendFailure failure) override;
  void OnBackendReachable(bool reachable) override;

  // All ends once there are `count`, waiting for them.
  std::vector<RecordedEnd> Ends(std::size_t count);

  // All changes of reachability once there are `count`, waiting for them.
  std::vector<bool> Changes(std::size_t count);

 private:
  std::mutex mutex;
  std::condition_variable changed;
  std::vector<RecordedEnd> ends;
  std::vector<bool> changes;
};

}  // namespace agaterun::backend_server

#endif  // TESTS_BACKEND_SERVER_RECORDING_OBSERVER_H_
