#ifndef LIBRARIES_NODE_OBSERVER_GUARD_H_
#define LIBRARIES_NODE_OBSERVER_GUARD_H_

#include <atomic>
#include <thread>

namespace agaterun::node {

// Allows calls of an observer until it is closed. Pending handlers can outlive
// the links, while the observer may be destroyed right after them.
class ObserverGuard {
 public:
  // Exists for the duration of one call. The call is allowed only when IsOpen()
  // returns true.
  class Call {
   public:
    explicit Call(ObserverGuard& guard) : guard(guard) {
      ++this->guard.active_calls;
    }
    ~Call() { --this->guard.active_calls; }
    Call(const Call&) = delete;
    Call& operator=(const Call&) = delete;

    bool IsOpen() const { return this->guard.is_open; }

   private:
    ObserverGuard& guard;
  };

  // Blocks until no call is in progress; none starts afterwards. Must not be
  // called from within an observer call.
  void CloseAndWait() {
    this->is_open = false;
    while (this->active_calls > 0) {
      std::this_thread::yield();
    }
  }

 private:
  std::atomic<bool> is_open{true};
  std::atomic<int> active_calls{0};
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_OBSERVER_GUARD_H_
