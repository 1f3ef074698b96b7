#include "tests/backend_server/recording_observer.h"

#include <utility>

namespace agaterun::backend_server {

namespace {

constexpr Duration kWaitTimeout = 10s;

}  // namespace

void RecordingObserver::OnBackendResponded(decision::VisitId visit,
                                           HttpResponse response) {
  const std::lock_guard lock(this->mutex);
  this->results.push_back({visit, std::move(response), std::nullopt});
  this->changed.notify_all();
}

void RecordingObserver::OnBackendFailed(decision::VisitId visit,
                                        decision::BackendFailure failure) {
  const std::lock_guard lock(this->mutex);
  this->results.push_back({visit, std::nullopt, failure});
  this->changed.notify_all();
}

void RecordingObserver::OnBackendReachable(bool reachable) {
  const std::lock_guard lock(this->mutex);
  this->changes.push_back(reachable);
  this->changed.notify_all();
}

std::vector<RecordedResult> RecordingObserver::WaitForResults(
    std::size_t count) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, kWaitTimeout,
                         [&] { return this->results.size() >= count; });
  return this->results;
}

std::vector<bool> RecordingObserver::WaitForReachabilityChanges(
    std::size_t count) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, kWaitTimeout,
                         [&] { return this->changes.size() >= count; });
  return this->changes;
}

}  // namespace agaterun::backend_server
