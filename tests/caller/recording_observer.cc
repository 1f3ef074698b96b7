#include "tests/caller/recording_observer.h"

#include <utility>

namespace agaterun::caller {

namespace {

constexpr Duration kHangGuard = 10s;

}  // namespace

void RecordingObserver::OnRequest(decision::CallId call,
                                  HttpRequest request,
                                  bool nested) {
  RecordedCall recorded = {call, std::move(request), nested};
  if (this->handler) {
    this->handler(std::move(recorded));
    return;
  }
  const std::lock_guard lock(this->mutex);
  this->calls.push_back(std::move(recorded));
  this->changed.notify_all();
}

void RecordingObserver::OnCallerDisconnected(decision::CallId call) {
  const std::lock_guard lock(this->mutex);
  this->disconnected_calls.push_back(call);
  this->changed.notify_all();
}

std::optional<RecordedCall> RecordingObserver::Next(Duration wait) {
  std::unique_lock lock(this->mutex);
  if (!this->changed.wait_for(lock, wait,
                              [&] { return !this->calls.empty(); })) {
    return std::nullopt;
  }
  RecordedCall call = std::move(this->calls.front());
  this->calls.pop_front();
  return call;
}

bool RecordingObserver::WaitForDisconnects(std::size_t count) {
  std::unique_lock lock(this->mutex);
  return this->changed.wait_for(lock, kHangGuard, [&] {
    return this->disconnected_calls.size() >= count;
  });
}

std::vector<decision::CallId> RecordingObserver::DisconnectedCalls() {
  const std::lock_guard lock(this->mutex);
  return this->disconnected_calls;
}

}  // namespace agaterun::caller
