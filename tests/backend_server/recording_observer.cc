#include "tests/backend_server/recording_observer.h"

#include <utility>

namespace agaterun::backend_server {

namespace {

constexpr Duration kHangGuard = 10s;

}  // namespace

void RecordingObserver::OnBackendResponded(decision::VisitId visit,
                                           HttpResponse response) {
  const std::lock_guard lock(this->mutex);
  this->ends.push_back({visit, std::move(response), std::nullopt});
  this->changed.notify_all();
}

void RecordingObserver::OnBackendFailed(decision::VisitId visit,
                                        decision::BackendFailure failure) {
  const std::lock_guard lock(this->mutex);
  this->ends.push_back({visit, std::nullopt, failure});
  this->changed.notify_all();
}

void RecordingObserver::OnBackendReachable(bool reachable) {
  const std::lock_guard lock(this->mutex);
  this->changes.push_back(reachable);
  this->changed.notify_all();
}

std::vector<RecordedEnd> RecordingObserver::Ends(std::size_t count) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, kHangGuard,
                         [&] { return this->ends.size() >= count; });
  return this->ends;
}

std::vector<bool> RecordingObserver::Changes(std::size_t count) {
  std::unique_lock lock(this->mutex);
  this->changed.wait_for(lock, kHangGuard,
                         [&] { return this->changes.size() >= count; });
  return this->changes;
}

}  // namespace agaterun::backend_server
