#ifndef LIBRARIES_NODE_OBSERVER_GATE_H_
#define LIBRARIES_NODE_OBSERVER_GATE_H_

#include <atomic>
#include <thread>

namespace agaterun::node {

// Lets calls through to an observer until it is shut. Handlers can outlive the
// links, the observer may not.
class ObserverGate {
 public:
  // Held during one call. The call is allowed only when IsOpen().
  class Entry {
   public:
    explicit Entry(ObserverGate& gate) : gate(gate) { ++this->gate.entries; }
    ~Entry() { --this->gate.entries; }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;

    bool IsOpen() const { return this->gate.open; }

   private:
    ObserverGate& gate;
  };

  // Returns once no call runs; none starts afterwards. Never from a call.
  void Shut() {
    this->open = false;
    while (this->entries > 0) {
      std::this_thread::yield();
    }
  }

 private:
  std::atomic<bool> open{true};
  std::atomic<int> entries{0};
};

}  // namespace agaterun::node

#endif  // LIBRARIES_NODE_OBSERVER_GATE_H_
